#include "retry/fleet_retry_budget.h"

#include <algorithm>

namespace parsleyquay {

namespace {

// Of the ratio: requests may be counted a window before their retries.
constexpr double kRatioMargin = 0.8;

// Of the slack: what instances have earned and not yet used adds to it.
constexpr double kSlackMargin = 0.5;

// No more is saved up than the next retry.
constexpr double kMostEarned = 1;

long ShareOfSlack(const RetryBound& bound, const FleetPlace& place) {
  return WholeShare(bound.slack * kSlackMargin, place.rank, place.instances);
}

}  // namespace

void EarnRetry(FleetRetryBudget& budget, const RetryBound& bound) {
  budget.earned =
      std::min(kMostEarned, budget.earned + bound.ratio * kRatioMargin);
}

bool HasRetry(const FleetRetryBudget& budget,
              const RetryBound& bound,
              const FleetPlace& place,
              TimePoint now) {
  return budget.earned >= kMostEarned ||
         HasRoom(budget.slack_used, ShareOfSlack(bound, place), bound.window,
                 now);
}

bool SpendRetry(FleetRetryBudget& budget,
                const RetryBound& bound,
                const FleetPlace& place,
                TimePoint now) {
  if (budget.earned >= kMostEarned) {
    budget.earned -= 1;
    return true;
  }
  return TakeFromWindow(budget.slack_used, ShareOfSlack(bound, place),
                        bound.window, now);
}

}  // namespace parsleyquay
