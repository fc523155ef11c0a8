#include "placement/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include "base/unit_interval.h"

namespace parsleyquay {

namespace {

// The cost of a failure. If the request cannot be retried, a failure costs as
// much as a typical timeout of a caller; otherwise it costs the time of another
// attempt.
constexpr double kFinalFailureMilliseconds = 2'500;
constexpr double kRetriedFailureMilliseconds = 500;

// A server that has just started takes about twice the usual time.
constexpr double kColdFactor = 2;

// Penalties for a server in another failure domain. Traffic between failure
// domains is expensive, so large bodies are sent to or from another domain only
// if the servers of the own domain are much worse.
constexpr double kCrossDomainMilliseconds = 60;
constexpr double kCrossDomainBulkMilliseconds = 1'500;

// The temperature of the Gibbs distribution: a server whose cost is higher by
// this much is chosen e times less often.
constexpr double kTemperatureMilliseconds = 100;

// The queueing formula diverges as the utilization approaches 1.
constexpr double kMaxUtilization = 0.97;

double ToDoubleMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns the mean queueing delay, in milliseconds, at a server with several
// slots (Sakasegawa, 1977, formula 2.1, for exponential service times).
double MeanQueueingDelay(const PlacementCandidate& candidate,
                         const PlacementRequest& request) {
  const double slots = static_cast<double>(candidate.slots);
  const double utilization = std::min(candidate.utilization, kMaxUtilization);
  return ToDoubleMilliseconds(request.expected_service_time) *
         std::pow(utilization, std::sqrt(2 * (slots + 1)) - 1) /
         (slots * (1 - utilization));
}

// Returns the queueing delay, in milliseconds, that follows from the load which
// the server last reported. The report is slightly out of date and all
// instances see the same one. Used alone, it would send the requests of all
// instances to one server after another.
double ReportedQueueingDelay(const PlacementCandidate& candidate,
                             const PlacementRequest& request) {
  const double slots = static_cast<double>(candidate.slots);
  const double ahead = std::max(0., candidate.load + 1 - slots);
  return ahead / slots * ToDoubleMilliseconds(request.expected_service_time);
}

double ExpectedQueueingDelay(const PlacementCandidate& candidate,
                             const PlacementRequest& request) {
  return std::max(MeanQueueingDelay(candidate, request),
                  ReportedQueueingDelay(candidate, request));
}

double ExpectedServiceTime(const PlacementCandidate& candidate,
                           const PlacementRequest& request) {
  return ToDoubleMilliseconds(request.expected_service_time) *
         (candidate.is_cold ? kColdFactor : 1);
}

}  // namespace

double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementRequest& request) {
  const double failure_cost = request.is_retryable ? kRetriedFailureMilliseconds
                                                   : kFinalFailureMilliseconds;
  const double cross_domain_cost = candidate.is_in_own_domain ? 0
                                   : request.is_bulk
                                       ? kCrossDomainBulkMilliseconds
                                       : kCrossDomainMilliseconds;
  return ExpectedQueueingDelay(candidate, request) +
         ExpectedServiceTime(candidate, request) + cross_domain_cost +
         candidate.failure_probability * failure_cost;
}

bool CanMeetDeadline(const PlacementCandidate& candidate,
                     const PlacementRequest& request) {
  // Only the queue that the server has reported may rule it out: the mean
  // queueing delay says little about a single request. Half of the service time
  // is assumed because many requests take less than the mean.
  return ReportedQueueingDelay(candidate, request) +
             ExpectedServiceTime(candidate, request) / 2 <
         ToDoubleMilliseconds(request.time_left);
}

std::optional<std::size_t> SampleServer(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request,
    std::uint64_t random) {
  std::vector<double> costs(candidates.size());
  std::ranges::transform(
      candidates, costs.begin(), [&](const PlacementCandidate& candidate) {
        const bool is_usable =
            candidate.is_permitted && CanMeetDeadline(candidate, request);
        return is_usable ? PlacementCost(candidate, request)
                         : std::numeric_limits<double>::infinity();
      });
  const auto cheapest = std::ranges::min_element(costs);
  if (cheapest == costs.end() || std::isinf(*cheapest)) {
    return std::nullopt;
  }
  const double lowest_cost = *cheapest;
  std::vector<double> weights(costs.size());
  std::ranges::transform(costs, weights.begin(), [&](double cost) {
    return std::exp((lowest_cost - cost) / kTemperatureMilliseconds);
  });
  double remaining = std::accumulate(weights.begin(), weights.end(), 0.) *
                     ToUnitInterval(random);
  const auto chosen = std::ranges::find_if(weights, [&](double weight) {
    remaining -= weight;
    return remaining < 0;
  });
  return chosen == weights.end() ? cheapest - costs.begin()
                                 : chosen - weights.begin();
}

}  // namespace parsleyquay
