#include "placement/exploration.h"

#include <algorithm>

#include "base/unit_interval.h"

namespace parsleyquay {

namespace {

// The fleet guarantees a minimum server coverage: while more than a tenth of a
// service's requests fail, seven in ten of its healthy servers receive requests
// in any two seconds. This instance cannot tell which servers are healthy, so
// it explores all that may be used. The threshold is lower than a tenth, so
// that exploration begins before the guarantee applies.
constexpr double kMinCoverageFailureShare = 0.07;

// How long a server is idle before it is due for exploration.
constexpr Duration kIdleTimeForCoverage = milliseconds(900);
// A server that has failed counts as healthy again two seconds after the
// failure. The coverage guarantee is met if it is used within the two seconds
// that follow.
constexpr Duration kIdleTimeForCoverageIfSuspect = milliseconds(2'800);
constexpr Duration kIdleTimeForRetryable = milliseconds(1'000);
// While few requests fail, the guarantee does not apply and exploration can
// wait longer.
constexpr Duration kIdleTimeIfNotSuspect = milliseconds(2'500);
constexpr Duration kIdleTimeIfSuspect = seconds(10);

// A server that is due is explored within about this time.
constexpr double kExplorationSeconds = 0.6;

// A server is suspect from this failure probability on.
constexpr double kSuspectFailureProbability = 0.33;

// However many servers are due, the other requests are placed normally.
constexpr double kMaxExplorationShare = 0.6;

double FailureShare(const ServiceTraffic& traffic) {
  const double total = traffic.served_per_second + traffic.failed_per_second;
  return total > 0 ? traffic.failed_per_second / total : 0;
}

Duration IdleTimeUntilDue(const PlacementCandidate& candidate,
                          const PlacementRequest& request,
                          bool needs_coverage) {
  const bool is_suspect =
      candidate.failure_probability >= kSuspectFailureProbability;
  if (request.is_retryable) {
    return kIdleTimeForRetryable;
  }
  if (needs_coverage) {
    return is_suspect ? kIdleTimeForCoverageIfSuspect : kIdleTimeForCoverage;
  }
  return is_suspect ? kIdleTimeIfSuspect : kIdleTimeIfNotSuspect;
}

bool IsDue(const PlacementCandidate& candidate,
           const PlacementRequest& request,
           bool needs_coverage) {
  // Transferring a large response from another failure domain costs too much
  // for exploration.
  const bool is_affordable = candidate.is_in_own_domain || !request.is_bulk;
  return candidate.is_permitted && is_affordable &&
         candidate.idle_time >
             IdleTimeUntilDue(candidate, request, needs_coverage) &&
         CanMeetDeadline(candidate, request);
}

}  // namespace

std::optional<std::vector<PlacementCandidate>> SampleExplorationCandidates(
    std::vector<PlacementCandidate> candidates,
    const PlacementRequest& request,
    const ServiceTraffic& traffic,
    std::uint64_t random) {
  const bool needs_coverage = FailureShare(traffic) > kMinCoverageFailureShare;
  const auto is_due = [&](const PlacementCandidate& candidate) {
    return IsDue(candidate, request, needs_coverage);
  };
  // Servers of other failure domains are explored only if no server in this
  // instance's own domain is due.
  const bool is_own_domain_due =
      std::ranges::any_of(candidates, [&](const auto& candidate) {
        return candidate.is_in_own_domain && is_due(candidate);
      });
  const auto is_chosen = [&](const PlacementCandidate& candidate) {
    return is_due(candidate) && candidate.is_in_own_domain == is_own_domain_due;
  };
  const auto due_count = std::ranges::count_if(candidates, is_chosen);
  if (due_count == 0) {
    return std::nullopt;
  }
  const double requests_per_second =
      (traffic.served_per_second + traffic.failed_per_second) *
      (is_own_domain_due ? traffic.own_domain_share : 1);
  const double probability =
      std::min(kMaxExplorationShare,
               static_cast<double>(due_count) /
                   std::max(1e-3, requests_per_second * kExplorationSeconds));
  if (ToUnitInterval(random) >= probability) {
    return std::nullopt;
  }
  for (PlacementCandidate& candidate : candidates) {
    candidate.is_permitted = is_chosen(candidate);
  }
  return candidates;
}

}  // namespace parsleyquay
