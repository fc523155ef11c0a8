#ifndef PARSLEYQUAY_PLACEMENT_PLACEMENT_H_
#define PARSLEYQUAY_PLACEMENT_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// What is known of a backend server when a request is placed.
struct PlacementCandidate {
  double failure_probability = 0;
  double load = 0;  // requests it holds, running or waiting
  // Of its slots, those that the requests of the last seconds have kept busy.
  double utilization = 0;
  long slots = 1;
  bool is_cold = false;
  bool is_in_own_domain = true;      // in the instance's own failure domain
  bool is_permitted = true;          // by its pace, and not tried before
  Duration idle_time = Duration(0);  // since any instance has seen an outcome

  bool operator==(const PlacementCandidate&) const = default;
};

// What the request asks of its place.
struct PlacementRequest {
  bool is_retryable = false;  // a failure can be made good at another server
  bool is_bulk = false;       // the answer is large, the way matters
  Duration expected_service_time =
      milliseconds(200);  // at a server of the service
  Duration time_left = seconds(1);

  bool operator==(const PlacementRequest&) const = default;
};

// The delay, in milliseconds, that a server is expected to cost the request:
// waiting, slow work, the way, and the chance of a failure as the time that a
// failure is worth.
double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementRequest& request);

// Whether the request is likely to be done in time at the server.
bool CanMeetDeadline(const PlacementCandidate& candidate,
                     const PlacementRequest& request);

// Draws a server, each with a probability that falls with its cost (a Gibbs
// distribution): instances that believe alike must not all choose the same
// server. Nothing when none is permitted or none can be in time. `random` is
// uniform over all values.
std::optional<std::size_t> SampleServer(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request,
    std::uint64_t random);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_PLACEMENT_PLACEMENT_H_
