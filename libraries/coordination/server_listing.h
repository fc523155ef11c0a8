#ifndef PARSLEYQUAY_COORDINATION_SERVER_LISTING_H_
#define PARSLEYQUAY_COORDINATION_SERVER_LISTING_H_

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace parsleyquay {

// The properties that a backend server publishes about itself.
struct ServerListing {
  std::string service;
  std::string address;  // "ip:port"
  std::string failure_domain;
  std::string version;  // of the service's program; "" if not stated
  long slots = 1;       // requests that it processes concurrently
  bool is_draining = false;
  // How much longer the server is cold, as of the time of writing.
  Duration cold_remaining = Duration(0);
  // Identifies this run of the server process, and the number of the listing
  // within it. Both increase; a listing with a smaller pair is stale.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  bool operator==(const ServerListing&) const = default;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_SERVER_LISTING_H_
