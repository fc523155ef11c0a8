#ifndef PARSLEYQUAY_BALANCING_SERVER_CHOICE_H_
#define PARSLEYQUAY_BALANCING_SERVER_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// What an instance knows of a backend server when it places a request.
struct ServerCandidate {
  std::string name;
  long in_flight = 0;        // requests of this instance
  long limit = 0;            // of this instance at this server
  double reported_load = 0;  // requests that the server said it holds
  Duration report_age = Duration(0);
  Duration latency = Duration(0);  // recent, smoothed
  bool is_usable = true;

  bool operator==(const ServerCandidate&) const = default;
};

// Expected waiting, in the order of which servers are preferred.
double PlacementCost(const ServerCandidate& candidate);

// What to expect of a server that answered with `latency` some time ago: the
// longer ago, the closer to what is usual. A server that was slow once would
// otherwise never be chosen again, and so never show that it is well.
Duration DecayedLatency(Duration latency, Duration usual, Duration age);

// The cheaper of two usable servers drawn at random (Mitzenmacher, 2001, "The
// Power of Two Choices"): the best of all would draw every instance to the
// same server at once. Nothing when no usable server has room.
std::optional<std::size_t> ChooseServer(
    const std::vector<ServerCandidate>& candidates,
    std::uint64_t random);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BALANCING_SERVER_CHOICE_H_
