#include "retry/retry_budget.h"

#include <algorithm>

namespace parsleyquay {

namespace {

constexpr double kRetriesPerRequest = 0.2;
constexpr double kMaxTokens = 20;

}  // namespace

RetryBudget EarnRetry(RetryBudget budget) {
  budget.tokens = std::min(kMaxTokens, budget.tokens + kRetriesPerRequest);
  return budget;
}

BudgetSpend SpendRetry(RetryBudget budget) {
  if (budget.tokens < 1) {
    return {budget, false};
  }
  budget.tokens -= 1;
  return {budget, true};
}

}  // namespace parsleyquay
