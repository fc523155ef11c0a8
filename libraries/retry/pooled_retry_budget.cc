#include "retry/pooled_retry_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleyquay {

namespace {

// Fraction of the ratio that a request earns, and the validity of credit as a
// fraction of the window. With requests at a constant rate, 0.8 x (1 + 0.15) =
// 0.92 of the ratio is spent; the rest is for a falling rate.
constexpr double kUsedRatioFraction = 0.8;
constexpr int kValidityPercent = 15;

// Fractions of the slack that the instances share out, and that covers the
// saved credit. The rest is for a falling rate.
constexpr double kUsedSlackFraction = 0.5;
constexpr double kSavedSlackFraction = 0.4;

// The newest own credit, up to one retry, is kept for this part of its
// validity. Later it would expire on the way to another instance.
constexpr double kMaxKept = 1;
constexpr int kKeptPart = 3;

double SavedLimit(const FleetRetryLimit& limit, const InstanceRank& rank) {
  // Ranks are counted from the other end here, so that instances without a
  // share of the slack are the first to save credit.
  const std::size_t last = std::max<std::size_t>(1, rank.instance_count) - 1;
  const long share =
      IntegerShare(limit.slack * kSavedSlackFraction,
                   last - std::min(last, rank.rank), rank.instance_count);
  return share > 0 ? 1 : 0;
}

long ShareOfSlack(const FleetRetryLimit& limit, const SlackShare& share) {
  return share.is_usable
             ? IntegerShare(limit.slack * kUsedSlackFraction, share.rank.rank,
                            share.rank.instance_count)
             : 0;
}

double UsableSavings(const PooledRetryBudget& budget,
                     const FleetRetryLimit& limit,
                     const SlackShare& share) {
  return std::min(budget.saved, SavedLimit(limit, share.rank));
}

bool HasCredit(const PooledRetryBudget& budget,
               const FleetRetryLimit& limit,
               const SlackShare& share,
               TimePoint now) {
  return WholeRetries(ValidAmount(budget.foreign, now) +
                      ValidAmount(budget.own, now) +
                      UsableSavings(budget, limit, share)) >= 1;
}

}  // namespace

Duration CreditValidity(const FleetRetryLimit& limit) {
  return limit.window * kValidityPercent / 100;
}

void EarnRetry(PooledRetryBudget& budget,
               const FleetRetryLimit& limit,
               const SlackShare& share,
               TimePoint now) {
  const double earned = limit.ratio * kUsedRatioFraction;
  const double saved_limit = SavedLimit(limit, share.rank);
  budget.totals.lapsed += std::max(0.0, budget.saved - saved_limit);
  budget.saved = std::min(budget.saved, saved_limit);
  const double saved = std::min(earned, saved_limit - budget.saved);
  budget.saved += saved;
  if (earned > saved) {
    AddCredit(budget.own, earned - saved, now + CreditValidity(limit));
  }
}

bool CanSpendRetry(const PooledRetryBudget& budget,
                   const FleetRetryLimit& limit,
                   const SlackShare& share,
                   TimePoint now) {
  return HasCredit(budget, limit, share, now) ||
         HasWindowCapacity(budget.slack_used, ShareOfSlack(limit, share),
                           limit.window, now);
}

bool SpendRetry(PooledRetryBudget& budget,
                const FleetRetryLimit& limit,
                const SlackShare& share,
                int priority,
                TimePoint now) {
  if (!HasCredit(budget, limit, share, now)) {
    const bool is_spent = TryAcquireFromWindow(
        budget.slack_used, ShareOfSlack(limit, share), limit.window, now);
    budget.totals.spent += is_spent ? 1 : 0;
    return is_spent;
  }
  const double foreign = std::min(1.0, ValidAmount(budget.foreign, now));
  const double own = std::min(1.0 - foreign, ValidAmount(budget.own, now));
  TakeCredit(budget.foreign, foreign, now);
  TakeCredit(budget.own, own, now);
  budget.saved = std::max(0.0, budget.saved - (1 - foreign - own));
  budget.totals.spent += 1;
  if (foreign > 0) {
    ++budget.needed[priority];
    budget.needed_at = now;
  }
  return true;
}

void RecordUnmetRetry(PooledRetryBudget& budget, int priority, TimePoint now) {
  ++budget.needed[priority];
  budget.needed_at = now;
}

RetryNeed TakeNeed(PooledRetryBudget& budget, TimePoint now) {
  RetryNeed need = std::exchange(budget.needed, {});
  if (!need.empty()) {
    long total = 0;
    for (const auto& [priority, count] : need) {
      total += count;
    }
    // The number of requests varies from interval to interval by about the root
    // of its mean. Counted at the lowest priority, since it may not be needed.
    need.rbegin()->second +=
        std::lround(std::ceil(std::sqrt(static_cast<double>(total))));
  }
  long held = WholeRetries(ValidAmount(budget.foreign, now));
  for (auto& [priority, count] : need) {
    const long covered = std::min(held, count);
    held -= covered;
    count -= covered;
  }
  std::erase_if(need, [](const auto& entry) { return entry.second == 0; });
  return need;
}

RetryCredit TakeSpareCredit(PooledRetryBudget& budget,
                            const FleetRetryLimit& limit,
                            TimePoint now) {
  const Duration validity = CreditValidity(limit);
  // Of the own credit, what expires later than this has been earned last.
  const TimePoint kept_from = now + validity - validity / kKeptPart;
  const double kept = std::min(kMaxKept, ValidAmount(budget.own, kept_from));
  const double amount = ValidAmount(budget.own, now) - kept;
  if (amount <= 0) {
    return {};
  }
  budget.totals.given += amount;
  return TakeCredit(budget.own, amount, now);
}

void RemoveExpired(PooledRetryBudget& budget, TimePoint now) {
  budget.totals.lapsed +=
      RemoveExpired(budget.own, now) + RemoveExpired(budget.foreign, now);
}

}  // namespace parsleyquay
