#ifndef PARSLEYQUAY_RETRY_FLEET_RETRY_BUDGET_H_
#define PARSLEYQUAY_RETRY_FLEET_RETRY_BUDGET_H_

#include "base/sliding_window.h"

namespace parsleyquay {

// Limits the retries that all instances together send to one service. In any
// `window` they may send `requests * ratio + slack` retries.
struct FleetRetryLimit {
  double ratio = 0.2;  // retries per request to the service
  double slack = 50;   // additional retries
  Duration window = seconds(10);

  bool operator==(const FleetRetryLimit&) const = default;
};

// The position of an instance among all instances.
struct InstanceRank {
  std::size_t rank = 0;  // from 0
  std::size_t instance_count = 1;

  bool operator==(const InstanceRank&) const = default;
};

// One instance's part of a fleet-wide retry limit: the credit that its own
// requests have earned, and its share of the slack in any window. The instances
// keep the limit together without exchanging their retry counts.
struct FleetRetryBudget {
  double earned = 0;         // credit, in retries
  SlidingWindow slack_used;  // the retries that were taken from the slack

  bool operator==(const FleetRetryBudget&) const = default;
};

// Adds the credit for the first attempt of a request.
void EarnRetry(FleetRetryBudget& budget, const FleetRetryLimit& limit);

// Returns whether a retry may be sent, without spending it.
bool CanSpendRetry(const FleetRetryBudget& budget,
                   const FleetRetryLimit& limit,
                   const InstanceRank& instance_rank,
                   TimePoint now);

// Spends one retry from the credit, or else from the share of the slack.
// Returns whether a retry was available.
bool SpendRetry(FleetRetryBudget& budget,
                const FleetRetryLimit& limit,
                const InstanceRank& instance_rank,
                TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_FLEET_RETRY_BUDGET_H_
