#ifndef PARSLEYQUAY_RETRY_LOCAL_RETRY_BUDGET_H_
#define PARSLEYQUAY_RETRY_LOCAL_RETRY_BUDGET_H_

namespace parsleyquay {

// Limits the retries of one instance to a fraction of its first attempts, so
// that retries cannot multiply the load on a failing service.
struct LocalRetryBudget {
  double tokens = 20;

  bool operator==(const LocalRetryBudget&) const = default;
};

// Returns the budget with the credit for one first attempt added.
LocalRetryBudget EarnRetry(LocalRetryBudget budget);

// The budget after an attempt to spend a retry, and whether the retry is
// allowed.
struct RetrySpendResult {
  LocalRetryBudget budget;
  bool is_allowed = false;
};

// Takes one retry from the budget, if it holds one.
RetrySpendResult SpendRetry(LocalRetryBudget budget);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_LOCAL_RETRY_BUDGET_H_
