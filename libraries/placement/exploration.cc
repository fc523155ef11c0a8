#include "placement/exploration.h"

#include <algorithm>

#include "base/unit_interval.h"

namespace parsleyquay {

namespace {

// The users' floor: while more than a tenth of a service's requests go
// unserved, seven in ten of its sound servers get requests in any two seconds.
// Which servers are sound is not known here, so all that may be are used.
constexpr double kManyFailedRequests = 0.07;

// How long a server goes unused before it is due. While few requests go
// unserved, there is time.
constexpr Duration kDueAtFloor = milliseconds(900);
// One that has failed counts as sound again after two seconds, so that the
// floor holds if it is tried within the two that follow.
constexpr Duration kDueAtFloorIfDoubted = milliseconds(2'800);
constexpr Duration kDueForRepeatable = milliseconds(1'000);
constexpr Duration kDueIfTrusted = milliseconds(2'500);
constexpr Duration kDueIfDoubted = seconds(10);

// A server that is due is tried within about that time.
constexpr double kTrialSeconds = 0.6;

// The chance of a failure from which on a server is doubted.
constexpr double kDoubted = 0.33;

// However many are due, some requests take the best place.
constexpr double kMostTrials = 0.6;

double FailedRequestShare(const ServiceTraffic& traffic) {
  const double all = traffic.served_per_second + traffic.failed_per_second;
  return all > 0 ? traffic.failed_per_second / all : 0;
}

Duration DueAfter(const PlacementCandidate& candidate,
                  const PlacementRequest& request,
                  bool is_at_floor) {
  const bool is_doubted = candidate.failure_probability >= kDoubted;
  if (request.is_retryable) {
    return kDueForRepeatable;
  }
  if (is_at_floor) {
    return is_doubted ? kDueAtFloorIfDoubted : kDueAtFloor;
  }
  return is_doubted ? kDueIfDoubted : kDueIfTrusted;
}

bool IsDue(const PlacementCandidate& candidate,
           const PlacementRequest& request,
           bool is_at_floor) {
  // Large answers from afar cost too much for a trial.
  const bool is_wanted = candidate.is_in_own_domain || !request.is_bulk;
  return candidate.is_permitted && is_wanted &&
         candidate.idle_time > DueAfter(candidate, request, is_at_floor) &&
         CanMeetDeadline(candidate, request);
}

}  // namespace

std::optional<std::vector<PlacementCandidate>> SampleExplorationCandidates(
    std::vector<PlacementCandidate> candidates,
    const PlacementRequest& request,
    const ServiceTraffic& traffic,
    std::uint64_t random) {
  const bool is_at_floor = FailedRequestShare(traffic) > kManyFailedRequests;
  const auto is_due = [&](const PlacementCandidate& candidate) {
    return IsDue(candidate, request, is_at_floor);
  };
  const bool is_near_due =
      std::ranges::any_of(candidates, [&](const auto& candidate) {
        return candidate.is_in_own_domain && is_due(candidate);
      });
  const auto is_chosen = [&](const PlacementCandidate& candidate) {
    return is_due(candidate) && candidate.is_in_own_domain == is_near_due;
  };
  const auto due = std::ranges::count_if(candidates, is_chosen);
  if (due == 0) {
    return std::nullopt;
  }
  const double requests =
      (traffic.served_per_second + traffic.failed_per_second) *
      (is_near_due ? traffic.own_domain_share : 1);
  const double share =
      std::min(kMostTrials, static_cast<double>(due) /
                                std::max(1e-3, requests * kTrialSeconds));
  const double drawn = ToUnitInterval(random);
  if (drawn >= share) {
    return std::nullopt;
  }
  for (PlacementCandidate& candidate : candidates) {
    candidate.is_permitted = is_chosen(candidate);
  }
  return candidates;
}

}  // namespace parsleyquay
