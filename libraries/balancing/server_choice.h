#ifndef PARSLEYQUAY_BALANCING_SERVER_CHOICE_H_
#define PARSLEYQUAY_BALANCING_SERVER_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// The state of one backend server as this instance knows it, for the
// power-of-two-choices policy.
struct ServerCandidate {
  std::string name;
  long in_flight = 0;        // requests of this instance at the server
  long limit = 0;            // concurrency limit of this instance at the server
  double reported_load = 0;  // requests running or queued at the server
  Duration report_age = Duration(0);  // of `reported_load`
  Duration latency = Duration(0);     // smoothed over recent requests
  bool is_usable = true;

  bool operator==(const ServerCandidate&) const = default;
};

// Returns the expected time, in milliseconds, that a further request takes at
// the server. The server with the lower latency is preferred.
double ExpectedLatencyMs(const ServerCandidate& candidate);

// Returns the latency to expect of a server whose latency was measured `age`
// ago. It decays towards the typical latency of the service. Otherwise a server
// that was slow once would not be chosen again, and its latency would never be
// measured anew. If the typical latency is not known (0), returns `latency`.
Duration DecayedLatency(Duration latency,
                        Duration typical_latency,
                        Duration age);

// Chooses the faster of two usable servers picked at random (Mitzenmacher,
// 2001, "The Power of Two Choices"). Choosing the best of all servers would
// send the requests of every instance to the same server at once. Returns the
// index of the candidate, or std::nullopt if no usable server is below its
// concurrency limit. `random` must be uniformly distributed over all 64-bit
// values.
std::optional<std::size_t> ChooseServer(
    const std::vector<ServerCandidate>& candidates,
    std::uint64_t random);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BALANCING_SERVER_CHOICE_H_
