#include "retry/fleet_retry_budget.h"

#include <algorithm>

namespace parsleyquay {

namespace {

// Fraction of the ratio that a request earns. A request may be counted in an
// earlier window than its retry.
constexpr double kUsedRatioFraction = 0.8;

// Fraction of the slack that is shared out. Credit that instances have earned
// in an earlier window and not spent yet comes on top of it.
constexpr double kUsedSlackFraction = 0.5;

// An instance saves up credit for no more than one retry.
constexpr double kMaxEarned = 1;

long ShareOfSlack(const FleetRetryLimit& limit,
                  const InstanceRank& instance_rank) {
  return IntegerShare(limit.slack * kUsedSlackFraction, instance_rank.rank,
                      instance_rank.instance_count);
}

}  // namespace

void EarnRetry(FleetRetryBudget& budget, const FleetRetryLimit& limit) {
  budget.earned =
      std::min(kMaxEarned, budget.earned + limit.ratio * kUsedRatioFraction);
}

bool CanSpendRetry(const FleetRetryBudget& budget,
                   const FleetRetryLimit& limit,
                   const InstanceRank& instance_rank,
                   TimePoint now) {
  return budget.earned >= kMaxEarned ||
         HasWindowCapacity(budget.slack_used,
                           ShareOfSlack(limit, instance_rank), limit.window,
                           now);
}

bool SpendRetry(FleetRetryBudget& budget,
                const FleetRetryLimit& limit,
                const InstanceRank& instance_rank,
                TimePoint now) {
  if (budget.earned >= kMaxEarned) {
    budget.earned -= 1;
    return true;
  }
  return TryAcquireFromWindow(
      budget.slack_used, ShareOfSlack(limit, instance_rank), limit.window, now);
}

}  // namespace parsleyquay
