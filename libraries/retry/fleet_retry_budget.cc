#include "retry/fleet_retry_budget.h"

#include <algorithm>

namespace parsleyquay {

namespace {

// Fraction of the ratio that a request earns. A request may be counted in an
// earlier window than its retry.
constexpr double kRatioMargin = 0.8;

// Fraction of the slack that is shared out. Credit that instances have earned
// in an earlier window and not spent yet comes on top of it.
constexpr double kSlackMargin = 0.5;

// An instance saves up credit for no more than one retry.
constexpr double kMaxEarned = 1;

long ShareOfSlack(const RetryBound& bound, const FleetPlace& place) {
  return WholeShare(bound.slack * kSlackMargin, place.rank, place.instances);
}

}  // namespace

void EarnRetry(FleetRetryBudget& budget, const RetryBound& bound) {
  budget.earned =
      std::min(kMaxEarned, budget.earned + bound.ratio * kRatioMargin);
}

bool HasRetry(const FleetRetryBudget& budget,
              const RetryBound& bound,
              const FleetPlace& place,
              TimePoint now) {
  return budget.earned >= kMaxEarned ||
         HasRoom(budget.slack_used, ShareOfSlack(bound, place), bound.window,
                 now);
}

bool SpendRetry(FleetRetryBudget& budget,
                const RetryBound& bound,
                const FleetPlace& place,
                TimePoint now) {
  if (budget.earned >= kMaxEarned) {
    budget.earned -= 1;
    return true;
  }
  return TakeFromWindow(budget.slack_used, ShareOfSlack(bound, place),
                        bound.window, now);
}

}  // namespace parsleyquay
