#ifndef PARSLEYQUAY_RETRY_RETRY_CREDIT_H_
#define PARSLEYQUAY_RETRY_RETRY_CREDIT_H_

#include <map>

#include "base/clock.h"

namespace parsleyquay {

// Credit for retries that is valid for a limited time. Amounts are in retries
// and may be fractions.
struct RetryCredit {
  std::map<TimePoint, double> lots;  // by the end of validity

  bool operator==(const RetryCredit&) const = default;
};

// Adds credit that is valid until `expires_at`, or up to 50 ms less, so that a
// few lots hold all of it.
void AddCredit(RetryCredit& credit, double amount, TimePoint expires_at);
void AddCredit(RetryCredit& credit, const RetryCredit& added);

// Returns the amount that is valid at `now`.
double ValidAmount(const RetryCredit& credit, TimePoint now);

// Returns the whole retries in an amount, tolerating rounding errors of sums.
long WholeRetries(double amount);

// Removes and returns up to `amount` of what is valid at `now`, the credit that
// expires first before the other.
RetryCredit TakeCredit(RetryCredit& credit, double amount, TimePoint now);

// The same, but the credit that expires last before the other.
RetryCredit TakeNewestCredit(RetryCredit& credit, double amount, TimePoint now);

// Removes the credit that has expired. Returns its amount.
double RemoveExpired(RetryCredit& credit, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_RETRY_CREDIT_H_
