#ifndef PARSLEYQUAY_RETRY_FLEET_RETRY_BUDGET_H_
#define PARSLEYQUAY_RETRY_FLEET_RETRY_BUDGET_H_

#include "base/sliding_window.h"

namespace parsleyquay {

// What all instances together may send again to one service.
struct FleetRetryLimit {
  double ratio = 0.2;  // of the requests for the service
  double slack = 50;   // beyond, in any window
  Duration window = seconds(10);

  bool operator==(const FleetRetryLimit&) const = default;
};

// An instance's place among all of them, from 0.
struct InstanceRank {
  std::size_t rank = 0;
  std::size_t instance_count = 1;

  bool operator==(const InstanceRank&) const = default;
};

// One instance's part of the bound: what its own requests have earned, and its
// share of the slack in any window. The sum over all instances keeps the
// bound, whatever they know of each other.
struct FleetRetryBudget {
  double earned = 0;
  SlidingWindow slack_used;

  bool operator==(const FleetRetryBudget&) const = default;
};

// Notes a first attempt, which earns a part of a retry.
void EarnRetry(FleetRetryBudget& budget, const FleetRetryLimit& limit);

// Whether a retry may be made; it is not spent.
bool CanSpendRetry(const FleetRetryBudget& budget,
                   const FleetRetryLimit& limit,
                   const InstanceRank& instance_rank,
                   TimePoint now);

// Spends a retry; returns whether there was one.
bool SpendRetry(FleetRetryBudget& budget,
                const FleetRetryLimit& limit,
                const InstanceRank& instance_rank,
                TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_FLEET_RETRY_BUDGET_H_
