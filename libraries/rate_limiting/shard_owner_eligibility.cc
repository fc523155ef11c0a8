#include "rate_limiting/shard_owner_eligibility.h"

namespace parsleyquay {

namespace {

// All members that start at once have read each other's records by then.
constexpr Duration kJoinAfterStart = milliseconds(1'500);

// Of several members that leave at once, all have said so by then.
constexpr Duration kJoinAfter = milliseconds(250);

// Longer than a member's silence lasts before it is taken for dead: an instance
// that is only cut off finds so first, and one whose peers all died serves on.
constexpr Duration kJoinAloneAfter = milliseconds(4'000);

// Longer than an aggregator is passed over for a lost digest or two.
constexpr Duration kLeaveAfter = milliseconds(5'000);

Duration JoinDelay(const ShardOwnerConditions& conditions) {
  if (!conditions.is_at_least_half_alive) {
    return kJoinAloneAfter;
  }
  return conditions.has_started_recently ? kJoinAfterStart : kJoinAfter;
}

}  // namespace

void UpdateEligibility(ShardOwnerEligibility& eligibility,
                       const ShardOwnerConditions& conditions,
                       TimePoint now) {
  if (eligibility.candidate_since == TimePoint() ||
      eligibility.is_candidate != conditions.is_candidate) {
    eligibility.is_candidate = conditions.is_candidate;
    eligibility.candidate_since = now;
  }
  const Duration lasted = now - eligibility.candidate_since;
  if (!conditions.is_candidate) {
    eligibility.is_eligible = eligibility.is_eligible && lasted < kLeaveAfter;
    return;
  }
  eligibility.is_eligible =
      eligibility.is_eligible || lasted >= JoinDelay(conditions);
}

}  // namespace parsleyquay
