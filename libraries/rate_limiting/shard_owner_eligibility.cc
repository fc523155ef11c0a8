#include "rate_limiting/shard_owner_eligibility.h"

namespace parsleyquay {

namespace {

// Members that start at the same time have read each other's records by then.
constexpr Duration kJoinDelayAfterStart = milliseconds(1'500);

// If several members leave at the same time, all departures are known by then.
constexpr Duration kJoinDelay = milliseconds(250);

// Longer than the timeout after which a silent member counts as dead, so that a
// partitioned instance detects the partition before it would join. An instance
// whose peers are all dead does join.
constexpr Duration kJoinDelayIfMostSilent = milliseconds(4'000);

// Longer than an aggregator is skipped because of one or two lost digests.
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
