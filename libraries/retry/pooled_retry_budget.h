#ifndef PARSLEYQUAY_RETRY_POOLED_RETRY_BUDGET_H_
#define PARSLEYQUAY_RETRY_POOLED_RETRY_BUDGET_H_

#include <map>

#include "retry/fleet_retry_budget.h"
#include "retry/retry_credit.h"

namespace parsleyquay {

// Numbers of retries by priority; 0 is the highest.
using RetryNeed = std::map<int, long>;

// Amounts of credit in retries, since the process has started.
struct RetryCreditTotals {
  double given = 0;
  double received = 0;
  double spent = 0;  // including the share of the slack
  double lapsed = 0;

  bool operator==(const RetryCreditTotals&) const = default;
};

// One instance's part of a fleet-wide retry limit, if instances give each other
// the credit that they do not need. See docs/design/retry-pool.md for the
// bound.
struct PooledRetryBudget {
  // Credit that does not expire, for one retry at most, and only at as many
  // instances as the slack covers.
  double saved = 0;
  RetryCredit own;           // earned by this instance's requests
  RetryCredit foreign;       // granted by an aggregator
  SlidingWindow slack_used;  // the retries that were taken from the slack
  // Retries since the last call of TakeNeed() that had no credit, or were sent
  // with foreign credit.
  RetryNeed needed;
  TimePoint needed_at;  // when the last of them was
  RetryCreditTotals totals;

  bool operator==(const PooledRetryBudget&) const = default;
};

// What determines an instance's share of the slack.
struct SlackShare {
  InstanceRank rank;
  // Not for the first `window` after the start: the previous process of this
  // instance may have used the share.
  bool is_usable = true;

  bool operator==(const SlackShare&) const = default;
};

// Returns how long credit is valid after it has been earned, wherever it is.
Duration CreditValidity(const FleetRetryLimit& limit);

// Adds the credit for the first attempt of a request.
void EarnRetry(PooledRetryBudget& budget,
               const FleetRetryLimit& limit,
               const SlackShare& share,
               TimePoint now);

// Returns whether a retry may be sent, without spending it.
bool CanSpendRetry(const PooledRetryBudget& budget,
                   const FleetRetryLimit& limit,
                   const SlackShare& share,
                   TimePoint now);

// Spends one retry for a request of the priority: from foreign credit first,
// then from the own, the saved, and from the share of the slack. Returns
// whether a retry was available.
bool SpendRetry(PooledRetryBudget& budget,
                const FleetRetryLimit& limit,
                const SlackShare& share,
                int priority,
                TimePoint now);

// Records that a retry of a request of the priority was not possible.
void RecordUnmetRetry(PooledRetryBudget& budget, int priority, TimePoint now);

// Returns how many retries this instance will probably need in the next
// interval beyond its own credit and the foreign credit that it holds, judged
// by the interval since the last call.
RetryNeed TakeNeed(PooledRetryBudget& budget, TimePoint now);

// Removes and returns the credit that this instance gives to others: its own
// except what it has earned last, for one retry at most.
RetryCredit TakeSpareCredit(PooledRetryBudget& budget,
                            const FleetRetryLimit& limit,
                            TimePoint now);

// Counts and removes the credit that has expired.
void RemoveExpired(PooledRetryBudget& budget, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_POOLED_RETRY_BUDGET_H_
