#ifndef PARSLEYQUAY_COORDINATION_SERVER_LISTING_H_
#define PARSLEYQUAY_COORDINATION_SERVER_LISTING_H_

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace parsleyquay {

// What a backend server says of itself.
struct ServerListing {
  std::string service;
  std::string address;  // "ip:port"
  std::string failure_domain;
  long slots = 1;  // requests that it works on at once
  bool is_draining = false;
  Duration cold_remaining = Duration(0);  // when the listing was written
  // The start of this life of the server, and the number of the listing within
  // it. Both grow; a listing with an older pair has been overtaken.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  bool operator==(const ServerListing&) const = default;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_SERVER_LISTING_H_
