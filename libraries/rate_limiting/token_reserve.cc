#include "rate_limiting/token_reserve.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace parsleyquay {

namespace {

// How long the reserve covers the demand of higher priority.
constexpr double kReserveSeconds = 1;

// The part of the burst that is reserved at most. The rest stays available to
// every priority after a pause.
constexpr double kMaxReservedBurstFraction = 0.5;

constexpr int kHighestPriority = 0;

// A lower rate of requests of the highest priority, per second, counts as none.
constexpr double kMinRate = 0.1;

}  // namespace

void RecordTokenRequest(TokenDemand& demand, int priority, TimePoint now) {
  RecordEvents(demand.requests_by_priority[priority], 1, now);
}

double TokenReserve(const TokenDemand& demand,
                    const WorkspaceConfiguration& configuration,
                    int priority,
                    TimePoint now) {
  const auto& requests = demand.requests_by_priority;
  const auto rate_until = [&](auto end) {
    return std::accumulate(requests.begin(), end, 0.0,
                           [&](double sum, const auto& entry) {
                             return sum + RateAt(entry.second, now);
                           });
  };
  const bool asks_highest_priority =
      rate_until(requests.upper_bound(kHighestPriority)) >= kMinRate;
  if (!asks_highest_priority ||
      rate_until(requests.end()) <= configuration.requests_per_second) {
    return 0;
  }
  const auto end = requests.lower_bound(priority);
  const auto higher = static_cast<double>(std::distance(requests.begin(), end));
  const auto others = static_cast<double>(requests.size()) -
                      (requests.contains(priority) ? 1 : 0);
  const double max_reserve = configuration.burst * kMaxReservedBurstFraction *
                             (others > 0 ? higher / others : 0);
  return std::min(rate_until(end) * kReserveSeconds, max_reserve);
}

}  // namespace parsleyquay
