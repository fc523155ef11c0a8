#include "placement/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include "base/unit_interval.h"

namespace parsleyquay {

namespace {

// A failure that cannot be made good is worth a caller's whole patience; one
// that can costs the time of another attempt.
constexpr double kFinalFailureMilliseconds = 2'500;
constexpr double kRepeatedFailureMilliseconds = 500;

// A server that has just started takes about twice the usual time.
constexpr double kColdFactor = 2;

// Bytes between failure domains are dear: a large answer from afar may cost
// more than it is worth, so the near servers are tried first.
constexpr double kFarMilliseconds = 60;
constexpr double kFarBulkMilliseconds = 1'500;

// How readily a dearer server is drawn: one that costs this much more is drawn
// e times less often.
constexpr double kTemperatureMilliseconds = 100;

// Beyond this the formula for the usual wait grows without bound.
constexpr double kMaxUtilization = 0.97;

double ToDoubleMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// The usual wait in a queue before several slots (Sakasegawa, 1977, formula
// 2.1, for exponential work).
double UsualWait(const PlacementCandidate& candidate,
                 const PlacementRequest& request) {
  const double slots = static_cast<double>(candidate.slots);
  const double share = std::min(candidate.utilization, kMaxUtilization);
  return ToDoubleMilliseconds(request.expected_service_time) *
         std::pow(share, std::sqrt(2 * (slots + 1)) - 1) /
         (slots * (1 - share));
}

// The wait by what the server last said of its load. That is a little old, and
// others see the same: by itself it would draw all instances to one server
// after the other.
double ReportedWait(const PlacementCandidate& candidate,
                    const PlacementRequest& request) {
  const double slots = static_cast<double>(candidate.slots);
  const double ahead = std::max(0., candidate.load + 1 - slots);
  return ahead / slots * ToDoubleMilliseconds(request.expected_service_time);
}

double ExpectedWait(const PlacementCandidate& candidate,
                    const PlacementRequest& request) {
  return std::max(UsualWait(candidate, request),
                  ReportedWait(candidate, request));
}

double ExpectedWork(const PlacementCandidate& candidate,
                    const PlacementRequest& request) {
  return ToDoubleMilliseconds(request.expected_service_time) *
         (candidate.is_cold ? kColdFactor : 1);
}

}  // namespace

double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementRequest& request) {
  const double failure = request.is_retryable ? kRepeatedFailureMilliseconds
                                              : kFinalFailureMilliseconds;
  const double way = candidate.is_in_own_domain ? 0
                     : request.is_bulk          ? kFarBulkMilliseconds
                                                : kFarMilliseconds;
  return ExpectedWait(candidate, request) + ExpectedWork(candidate, request) +
         way + candidate.failure_probability * failure;
}

bool CanMeetDeadline(const PlacementCandidate& candidate,
                     const PlacementRequest& request) {
  // Only a queue that the server has reported makes a request hopeless; the
  // usual wait is an average. Half of the usual work: many requests take less
  // than the mean.
  return ReportedWait(candidate, request) +
             ExpectedWork(candidate, request) / 2 <
         ToDoubleMilliseconds(request.time_left);
}

std::optional<std::size_t> SampleServer(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request,
    std::uint64_t random) {
  std::vector<double> costs(candidates.size());
  std::ranges::transform(
      candidates, costs.begin(), [&](const PlacementCandidate& candidate) {
        const bool is_open =
            candidate.is_permitted && CanMeetDeadline(candidate, request);
        return is_open ? PlacementCost(candidate, request)
                       : std::numeric_limits<double>::infinity();
      });
  const auto cheapest = std::ranges::min_element(costs);
  if (cheapest == costs.end() || std::isinf(*cheapest)) {
    return std::nullopt;
  }
  const double least = *cheapest;
  std::vector<double> weights(costs.size());
  std::ranges::transform(costs, weights.begin(), [&](double cost) {
    return std::exp((least - cost) / kTemperatureMilliseconds);
  });
  double left = std::accumulate(weights.begin(), weights.end(), 0.) *
                ToUnitInterval(random);
  const auto drawn = std::ranges::find_if(weights, [&](double weight) {
    left -= weight;
    return left < 0;
  });
  return drawn == weights.end() ? cheapest - costs.begin()
                                : drawn - weights.begin();
}

}  // namespace parsleyquay
