#include "retry/local_retry_budget.h"

#include <algorithm>

namespace parsleyquay {

namespace {

constexpr double kRetriesPerRequest = 0.2;
constexpr double kMostTokens = 20;

}  // namespace

LocalRetryBudget EarnRetry(LocalRetryBudget budget) {
  budget.tokens = std::min(kMostTokens, budget.tokens + kRetriesPerRequest);
  return budget;
}

RetrySpendResult SpendRetry(LocalRetryBudget budget) {
  if (budget.tokens < 1) {
    return {budget, false};
  }
  budget.tokens -= 1;
  return {budget, true};
}

}  // namespace parsleyquay
