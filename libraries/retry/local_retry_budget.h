#ifndef PARSLEYQUAY_RETRY_LOCAL_RETRY_BUDGET_H_
#define PARSLEYQUAY_RETRY_LOCAL_RETRY_BUDGET_H_

namespace parsleyquay {

// Bounds retries to a share of the first attempts, so that retries cannot
// multiply the load on a service that is failing.
struct LocalRetryBudget {
  double tokens = 20;

  bool operator==(const LocalRetryBudget&) const = default;
};

// Adds what one first attempt earns.
LocalRetryBudget EarnRetry(LocalRetryBudget budget);

struct RetrySpendResult {
  LocalRetryBudget budget;
  bool is_allowed = false;
};

// Takes one retry out of the budget.
RetrySpendResult SpendRetry(LocalRetryBudget budget);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_LOCAL_RETRY_BUDGET_H_
