#include "placement/exploration.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "base/unit_interval.h"

namespace parsleyquay {

namespace {

// The fleet guarantees a minimum server coverage: while more than a tenth of a
// service's requests fail, seven in ten of its healthy servers receive requests
// in any two seconds. This instance cannot tell which servers are healthy, so
// it explores all that may be used. If more than the first share of the
// requests fail, at most three in ten servers may stay idle, so that the
// guarantee is met when it begins to apply. If more than the second share of
// the attempts fail, many servers are faulty, and none may stay idle.
constexpr double kLimitedCoverageFailureShare = 0.04;
constexpr double kFullCoverageFailureShare = 0.08;
constexpr double kMaxIdleShare = 0.3;
constexpr Duration kIdleTimeOfUnusedServer = milliseconds(1'300);

// The idle times of a server from which on it is due for exploration, and by
// which the fleet explores it.
struct IdleTimeLimits {
  Duration due;
  Duration overdue;
};

// A server is used within any two seconds.
constexpr IdleTimeLimits kCoverageLimits = {milliseconds(700),
                                            milliseconds(1'500)};
// A server that has failed counts as healthy again two seconds after the
// failure. The coverage guarantee is met if it is used within the two seconds
// that follow.
constexpr IdleTimeLimits kSuspectCoverageLimits = {milliseconds(2'200),
                                                   milliseconds(3'500)};
constexpr Duration kIdleTimeForRetryable = milliseconds(1'000);
// While few requests fail, the guarantee does not apply and exploration can
// wait longer.
constexpr Duration kIdleTimeIfNotSuspect = milliseconds(2'500);
constexpr Duration kIdleTimeIfSuspect = seconds(10);

// A server that is due is explored within about this time.
constexpr double kExplorationSeconds = 0.6;

// Other instances learn of an exploration after about this time. At a higher
// rate, several instances would explore one server at the same time.
constexpr Duration kDisseminationDelay = milliseconds(250);

// A server is suspect from this failure probability on.
constexpr double kSuspectFailureProbability = 0.33;

// However many servers are due, the other requests are placed normally.
constexpr double kMaxExplorationShare = 0.6;

// Returns the fraction that is not served of `per_second` requests, including
// the estimated ones of clients whose instance does not respond.
double UnservedShare(double per_second, const ServiceTraffic& traffic) {
  const double served_share =
      per_second > 0 ? std::min(1., traffic.served_per_second / per_second) : 1;
  return 1 - served_share * (1 - traffic.lost_instance_share);
}

// Returns the fraction of the service's requests that fail for any reason.
double RequestFailureShare(const ServiceTraffic& traffic) {
  return UnservedShare(traffic.served_per_second + traffic.failed_per_second,
                       traffic);
}

// Returns the fraction of the attempts that fail. It leaves out requests that
// the rate limiter rejects, and includes failures after which a request was
// sent to another server.
double AttemptFailureShare(const ServiceTraffic& traffic) {
  return UnservedShare(traffic.attempts_per_second, traffic);
}

bool IsSuspect(const PlacementCandidate& candidate) {
  return candidate.failure_probability >= kSuspectFailureProbability;
}

// Returns whether the server may be explored by this request, however long it
// has been idle.
bool IsExplorable(const PlacementCandidate& candidate,
                  const PlacementRequest& request) {
  // Transferring a large body to or from another failure domain costs too much
  // for exploration.
  const bool is_affordable = candidate.is_in_own_domain || !request.is_bulk;
  return is_affordable && candidate.is_permitted &&
         CanMeetDeadline(candidate, request);
}

Duration IdleTimeUntilDue(const PlacementCandidate& candidate,
                          const PlacementRequest& request) {
  if (request.is_retryable) {
    return kIdleTimeForRetryable;
  }
  return IsSuspect(candidate) ? kIdleTimeIfSuspect : kIdleTimeIfNotSuspect;
}

bool IsDue(const PlacementCandidate& candidate,
           const PlacementRequest& request) {
  return IsExplorable(candidate, request) &&
         candidate.idle_time > IdleTimeUntilDue(candidate, request);
}

// Returns the rate, in explorations per second, at which the fleet explores a
// server in order to keep the minimum server coverage. The rate rises with the
// idle time, so that all servers are explored before they are overdue, but not
// all at the same time.
double CoverageRate(const PlacementCandidate& candidate) {
  const IdleTimeLimits limits =
      IsSuspect(candidate) ? kSuspectCoverageLimits : kCoverageLimits;
  if (candidate.idle_time <= limits.due) {
    return 0;
  }
  const Duration left =
      std::max(kDisseminationDelay, limits.overdue - candidate.idle_time);
  return 1 / ToSeconds(left);
}

// Returns the probability that this request is the one that explores the
// server for coverage. The instances of a server's own failure domain explore
// it first, the others only once it is nearly overdue: then the instances of
// its domain may be down.
double CoverageProbability(const PlacementCandidate& candidate,
                           const PlacementRequest& request,
                           const ServiceTraffic& traffic) {
  if (!IsExplorable(candidate, request)) {
    return 0;
  }
  const double rate = CoverageRate(candidate);
  const bool is_nearly_overdue = rate * ToSeconds(kDisseminationDelay) >= 1;
  if (!candidate.is_in_own_domain && !is_nearly_overdue) {
    return 0;
  }
  const double share = is_nearly_overdue ? 1 : traffic.own_domain_share;
  return rate / std::max(1e-3, traffic.attempts_per_second * share);
}

// Permits only the candidate whose turn it is to be explored for coverage.
std::optional<std::vector<PlacementCandidate>> SampleForCoverage(
    std::vector<PlacementCandidate> candidates,
    const PlacementRequest& request,
    const ServiceTraffic& traffic,
    double random) {
  std::vector<double> probabilities(candidates.size());
  std::ranges::transform(
      candidates, probabilities.begin(), [&](const auto& candidate) {
        return CoverageProbability(candidate, request, traffic);
      });
  const double total =
      std::accumulate(probabilities.begin(), probabilities.end(), 0.);
  const double scale = std::min(1., kMaxExplorationShare / total);
  const auto chosen = std::ranges::find_if(probabilities, [&](double share) {
    random -= share * scale;
    return random < 0;
  });
  if (chosen == probabilities.end()) {
    return std::nullopt;
  }
  const auto index = chosen - probabilities.begin();
  for (PlacementCandidate& candidate : candidates) {
    candidate.is_permitted = &candidate == &candidates[index];
  }
  return candidates;
}

// Leaves only so many of the idle candidates permitted, the least suspect ones,
// that the others are as many as may stay idle.
std::vector<PlacementCandidate> ExcludeAllowedIdleServers(
    std::vector<PlacementCandidate> candidates) {
  std::vector<double> idle;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.idle_time > kIdleTimeOfUnusedServer) {
      idle.push_back(candidate.failure_probability);
    }
  }
  const auto allowed = static_cast<std::size_t>(
      kMaxIdleShare * static_cast<double>(candidates.size()));
  std::ranges::sort(idle);
  const double limit =
      idle.size() > allowed ? idle[idle.size() - allowed - 1] : -1;
  for (PlacementCandidate& candidate : candidates) {
    candidate.is_permitted =
        candidate.is_permitted && candidate.failure_probability <= limit;
  }
  return candidates;
}

// Permits only the candidates that are due, if this request is to explore.
std::optional<std::vector<PlacementCandidate>> SampleDueCandidates(
    std::vector<PlacementCandidate> candidates,
    const PlacementRequest& request,
    const ServiceTraffic& traffic,
    double random) {
  // Servers of other failure domains are explored only if no server in this
  // instance's own domain is due.
  const bool is_own_domain_due =
      std::ranges::any_of(candidates, [&](const auto& candidate) {
        return candidate.is_in_own_domain && IsDue(candidate, request);
      });
  const auto is_chosen = [&](const PlacementCandidate& candidate) {
    return IsDue(candidate, request) &&
           candidate.is_in_own_domain == is_own_domain_due;
  };
  const auto due_count = std::ranges::count_if(candidates, is_chosen);
  const double attempts_per_second =
      traffic.attempts_per_second *
      (is_own_domain_due ? traffic.own_domain_share : 1);
  const double probability =
      std::min(kMaxExplorationShare,
               static_cast<double>(due_count) /
                   std::max(1e-3, attempts_per_second * kExplorationSeconds));
  if (random >= probability) {
    return std::nullopt;
  }
  for (PlacementCandidate& candidate : candidates) {
    candidate.is_permitted = is_chosen(candidate);
  }
  return candidates;
}

}  // namespace

std::optional<std::vector<PlacementCandidate>> SampleExplorationCandidates(
    std::vector<PlacementCandidate> candidates,
    const PlacementRequest& request,
    const ServiceTraffic& traffic,
    std::uint64_t random) {
  const bool needs_full_coverage =
      AttemptFailureShare(traffic) > kFullCoverageFailureShare;
  const bool needs_limited_coverage =
      RequestFailureShare(traffic) > kLimitedCoverageFailureShare &&
      !request.is_retryable;
  std::optional<std::vector<PlacementCandidate>> explored;
  if (needs_full_coverage) {
    explored =
        SampleForCoverage(candidates, request, traffic, ToUnitInterval(random));
  } else if (needs_limited_coverage) {
    explored = SampleForCoverage(ExcludeAllowedIdleServers(candidates), request,
                                 traffic, ToUnitInterval(random));
  }
  const bool may_be_due = request.is_retryable || !needs_full_coverage;
  if (explored || !may_be_due) {
    return explored;
  }
  return SampleDueCandidates(std::move(candidates), request, traffic,
                             ToUnitInterval(random));
}

}  // namespace parsleyquay
