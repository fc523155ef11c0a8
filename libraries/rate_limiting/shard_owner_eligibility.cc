#include "rate_limiting/shard_owner_eligibility.h"

namespace parsleyquay {

namespace {

// Members that start at the same time have read each other's records by then.
constexpr Duration kJoinDelayAfterStart = milliseconds(1'500);

// If several members leave at the same time, all departures are known by then.
constexpr Duration kJoinDelay = milliseconds(250);

// Longer than the member timeout: an instance that has lost contact with its
// peers waits until all of them have timed out. If its peers are all dead, it
// then joins.
constexpr Duration kJoinDelayIfMostSilent = milliseconds(4'000);

// Longer than a change of the ranking lasts that is caused by one or two lost
// messages.
constexpr Duration kLeaveDelay = milliseconds(5'000);

Duration JoinDelay(const ShardOwnerConditions& conditions) {
  if (!conditions.is_at_least_half_alive) {
    return kJoinDelayIfMostSilent;
  }
  return conditions.has_started_recently ? kJoinDelayAfterStart : kJoinDelay;
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
  const Duration elapsed = now - eligibility.candidate_since;
  if (!conditions.is_candidate) {
    eligibility.is_eligible = eligibility.is_eligible && elapsed < kLeaveDelay;
    return;
  }
  eligibility.is_eligible =
      eligibility.is_eligible || elapsed >= JoinDelay(conditions);
}

}  // namespace parsleyquay
