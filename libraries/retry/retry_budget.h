#ifndef PARSLEYQUAY_RETRY_RETRY_BUDGET_H_
#define PARSLEYQUAY_RETRY_RETRY_BUDGET_H_

namespace parsleyquay {

// Limits the retries of one instance to a fraction of its first attempts, so
// that retries cannot multiply the load on a failing service.
struct RetryBudget {
  double tokens = 20;

  bool operator==(const RetryBudget&) const = default;
};

// Returns the budget with the credit for one first attempt added.
RetryBudget EarnRetry(RetryBudget budget);

// The budget after an attempt to spend a retry, and whether the retry is
// allowed.
struct BudgetSpend {
  RetryBudget budget;
  bool is_allowed = false;
};

// Takes one retry from the budget, if it holds one.
BudgetSpend SpendRetry(RetryBudget budget);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_RETRY_BUDGET_H_
