#include "placement/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace parsleyquay {

namespace {

// A failure that cannot be made good is worth a caller's whole patience; one
// that can costs the time of another attempt.
constexpr double kFinalFailureMilliseconds = 4'000;
constexpr double kRepeatedFailureMilliseconds = 900;

// A server that has just started takes about twice the usual time.
constexpr double kColdFactor = 2;

// Bytes between failure domains are dear: a large answer from afar may cost
// more than it is worth, so the near servers are tried first.
constexpr double kFarMilliseconds = 60;
constexpr double kFarBulkMilliseconds = 1'500;

// How readily a dearer server is drawn: one that costs this much more is drawn
// e times less often.
constexpr double kTemperatureMilliseconds = 100;

double ToDoubleMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double ExpectedWait(const PlacementCandidate& candidate,
                    const PlacementNeed& need) {
  const double slots = static_cast<double>(candidate.slots);
  const double ahead = std::max(0., candidate.load + 1 - slots);
  return ahead / slots * ToDoubleMilliseconds(need.usual_work);
}

// Even below its slots a busy server is more likely to make a request wait,
// since what is known of its load is a little old.
double BusyPenalty(const PlacementCandidate& candidate,
                   const PlacementNeed& need) {
  const double share = candidate.load / static_cast<double>(candidate.slots);
  return share * share * ToDoubleMilliseconds(need.usual_work) / 2;
}

double ExpectedWork(const PlacementCandidate& candidate,
                    const PlacementNeed& need) {
  return ToDoubleMilliseconds(need.usual_work) *
         (candidate.is_cold ? kColdFactor : 1);
}

}  // namespace

double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementNeed& need) {
  const double failure = need.may_repeat ? kRepeatedFailureMilliseconds
                                         : kFinalFailureMilliseconds;
  const double way = candidate.is_near ? 0
                     : need.is_bulk    ? kFarBulkMilliseconds
                                       : kFarMilliseconds;
  return ExpectedWait(candidate, need) + BusyPenalty(candidate, need) +
         ExpectedWork(candidate, need) + way +
         candidate.failure_probability * failure;
}

bool CanMeetDeadline(const PlacementCandidate& candidate,
                     const PlacementNeed& need) {
  // Half of the usual work: many requests take less than the mean.
  return ExpectedWait(candidate, need) + ExpectedWork(candidate, need) / 2 <
         ToDoubleMilliseconds(need.time_left);
}

std::optional<std::size_t> DrawServer(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementNeed& need,
    std::uint64_t random) {
  std::vector<double> costs(candidates.size());
  std::ranges::transform(
      candidates, costs.begin(), [&](const PlacementCandidate& candidate) {
        const bool is_open =
            candidate.is_permitted && CanMeetDeadline(candidate, need);
        return is_open ? PlacementCost(candidate, need)
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
                (static_cast<double>(random) /
                 static_cast<double>(std::numeric_limits<std::uint64_t>::max()));
  const auto drawn = std::ranges::find_if(weights, [&](double weight) {
    left -= weight;
    return left < 0;
  });
  return drawn == weights.end() ? cheapest - costs.begin()
                                : drawn - weights.begin();
}

}  // namespace parsleyquay
