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

long ShareOfSlack(const FleetRetryLimit& limit,
                  const InstanceRank& instance_rank) {
  return IntegerShare(limit.slack * kSlackMargin, instance_rank.rank,
                      instance_rank.instance_count);
}

}  // namespace

void EarnRetry(FleetRetryBudget& budget, const FleetRetryLimit& limit) {
  budget.earned =
      std::min(kMostEarned, budget.earned + limit.ratio * kRatioMargin);
}

bool CanSpendRetry(const FleetRetryBudget& budget,
                   const FleetRetryLimit& limit,
                   const InstanceRank& instance_rank,
                   TimePoint now) {
  return budget.earned >= kMostEarned ||
         HasWindowCapacity(budget.slack_used,
                           ShareOfSlack(limit, instance_rank), limit.window,
                           now);
}

bool SpendRetry(FleetRetryBudget& budget,
                const FleetRetryLimit& limit,
                const InstanceRank& instance_rank,
                TimePoint now) {
  if (budget.earned >= kMostEarned) {
    budget.earned -= 1;
    return true;
  }
  return TryAcquireFromWindow(
      budget.slack_used, ShareOfSlack(limit, instance_rank), limit.window, now);
}

}  // namespace parsleyquay
