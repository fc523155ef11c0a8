#include "retry/retry_credit.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace parsleyquay {

namespace {

constexpr Duration kLotWidth = milliseconds(50);

// Sums of fractions such as 0.16 differ from whole numbers by less than this.
constexpr double kRoundingError = 1e-6;

}  // namespace

void AddCredit(RetryCredit& credit, double amount, TimePoint expires_at) {
  const Duration since_epoch = expires_at.time_since_epoch();
  credit.lots[TimePoint(since_epoch - since_epoch % kLotWidth)] += amount;
}

void AddCredit(RetryCredit& credit, const RetryCredit& added) {
  for (const auto& [expires_at, amount] : added.lots) {
    AddCredit(credit, amount, expires_at);
  }
}

double ValidAmount(const RetryCredit& credit, TimePoint now) {
  return std::accumulate(
      credit.lots.upper_bound(now), credit.lots.end(), 0.0,
      [](double sum, const auto& lot) { return sum + lot.second; });
}

long WholeRetries(double amount) {
  return std::lround(std::floor(amount + kRoundingError));
}

RetryCredit TakeCredit(RetryCredit& credit, double amount, TimePoint now) {
  RetryCredit taken;
  auto lot = credit.lots.upper_bound(now);
  while (lot != credit.lots.end() && amount > 0) {
    const double part = std::min(amount, lot->second);
    taken.lots[lot->first] = part;
    amount -= part;
    lot->second -= part;
    lot = lot->second > 0 ? std::next(lot) : credit.lots.erase(lot);
  }
  return taken;
}

RetryCredit TakeNewestCredit(RetryCredit& credit,
                             double amount,
                             TimePoint now) {
  RetryCredit taken;
  while (!credit.lots.empty() && amount > 0) {
    const auto newest = std::prev(credit.lots.end());
    if (newest->first <= now) {
      break;
    }
    const double part = std::min(amount, newest->second);
    taken.lots[newest->first] = part;
    amount -= part;
    newest->second -= part;
    if (newest->second <= 0) {
      credit.lots.erase(newest);
    }
  }
  return taken;
}

double RemoveExpired(RetryCredit& credit, TimePoint now) {
  const auto first_valid = credit.lots.upper_bound(now);
  const double expired = std::accumulate(
      credit.lots.begin(), first_valid, 0.0,
      [](double sum, const auto& lot) { return sum + lot.second; });
  credit.lots.erase(credit.lots.begin(), first_valid);
  return expired;
}

}  // namespace parsleyquay
