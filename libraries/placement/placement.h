#ifndef PARSLEYQUAY_PLACEMENT_PLACEMENT_H_
#define PARSLEYQUAY_PLACEMENT_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// The state of one backend server when a request is placed, for the sampling
// policy.
struct PlacementCandidate {
  double failure_probability = 0;
  double load = 0;  // requests that the server is running or has queued
  // Offered load per slot: the request rate of the last seconds times the mean
  // service time, divided by `slots`. Exceeds 1 if the server is overloaded.
  double utilization = 0;
  long slots = 1;
  bool is_cold = false;
  bool is_in_own_domain = true;  // in this instance's own failure domain
  // Whether the request may be sent to the server at all. False, for example,
  // for servers that the request has tried before or that are draining.
  bool is_permitted = true;
  // Time since any instance last used the server.
  Duration idle_time = Duration(0);

  bool operator==(const PlacementCandidate&) const = default;
};

// The properties of a request that determine which server it is sent to.
struct PlacementRequest {
  bool is_retryable =
      false;             // a failed attempt can be retried on another server
  bool is_bulk = false;  // the request or response body is large
  // Mean time in which a server of the service processes a request, without
  // queueing.
  Duration expected_service_time = milliseconds(200);
  Duration time_left = seconds(1);  // until the deadline

  bool operator==(const PlacementRequest&) const = default;
};

// Returns the expected cost, in milliseconds, of sending the request to the
// server: queueing delay, service time, a penalty for crossing failure domains,
// and the failure probability multiplied by the cost of a failure.
double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementRequest& request);

// Returns whether the server is likely to complete the request before its
// deadline.
bool CanMeetDeadline(const PlacementCandidate& candidate,
                     const PlacementRequest& request);

// Samples a server from a Gibbs distribution over the costs, so that a server
// is chosen less often the higher its cost is. Choosing the cheapest server
// instead would send the requests of all instances with the same data to one
// server. Returns the index of the candidate, or std::nullopt if no permitted
// server can meet the deadline. `random` must be uniformly distributed over all
// 64-bit values.
std::optional<std::size_t> SampleServer(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request,
    std::uint64_t random);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_PLACEMENT_PLACEMENT_H_
