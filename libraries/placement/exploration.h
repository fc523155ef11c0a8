#ifndef PARSLEYQUAY_PLACEMENT_EXPLORATION_H_
#define PARSLEYQUAY_PLACEMENT_EXPLORATION_H_

#include <optional>
#include <vector>

#include "placement/placement.h"

namespace parsleyquay {

// The request rates of one service, summed over all instances.
struct ServiceTraffic {
  double attempts_per_second = 0;  // requests sent to a backend server
  double served_per_second = 0;
  double failed_per_second = 0;  // requests that ended without success
  // Fraction of the instances that have recently stopped responding. Clients
  // still send them requests, which fail without being counted.
  double lost_instance_share = 0;
  // Fraction of these requests that instances in this instance's failure domain
  // send.
  double own_domain_share = 1;

  bool operator==(const ServiceTraffic&) const = default;
};

// Decides at random whether this request explores, that is, goes to a server
// that no instance has used for some time. Without exploration the health
// estimate of an unused server would never be refreshed, and the fleet would
// concentrate its requests on fewer and fewer servers.
//
// A request that can be retried explores any idle server. One that cannot be
// retried explores suspect servers (those with a failure probability of a third
// or more) only after a much longer idle time, except while many requests of
// the service fail: then a wrong estimate must not keep healthy servers out of
// use. Each instance explores with a probability chosen so that all instances
// together explore a server that has been idle for long enough about once.
//
// Returns the candidates with `is_permitted` set only for the servers to
// explore, or std::nullopt if the request should be placed normally. `random`
// must be uniformly distributed over all 64-bit values.
std::optional<std::vector<PlacementCandidate>> SampleExplorationCandidates(
    std::vector<PlacementCandidate> candidates,
    const PlacementRequest& request,
    const ServiceTraffic& traffic,
    std::uint64_t random);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_PLACEMENT_EXPLORATION_H_
