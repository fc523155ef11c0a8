#ifndef PARSLEYQUAY_PLACEMENT_EXPLORATION_H_
#define PARSLEYQUAY_PLACEMENT_EXPLORATION_H_

#include <optional>
#include <vector>

#include "placement/placement.h"

namespace parsleyquay {

// How a service is used by all instances together.
struct ServiceTraffic {
  double served_per_second = 0;
  double failed_per_second = 0;
  double own_domain_share = 1;  // of it, by the instance's own failure domain

  bool operator==(const ServiceTraffic&) const = default;
};

// Decides whether this request is to try a server that has gone unused, and
// names the servers among which it may choose. Belief in a server fades while
// nobody uses it; without trials the fleet would crowd onto fewer and fewer
// servers. What may be sent twice tries any server. What may not tries those
// that are not doubted, and others only while many requests go unserved: then
// healthy servers must not be left out for a doubt that may be wrong. All
// instances decide alike and by chance, so that together they try a server
// that is due about once. Nothing when the request should take the best place
// instead. `random` is uniform over all values.
std::optional<std::vector<PlacementCandidate>> SampleExplorationCandidates(
    std::vector<PlacementCandidate> candidates,
    const PlacementRequest& request,
    const ServiceTraffic& traffic,
    std::uint64_t random);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_PLACEMENT_EXPLORATION_H_
