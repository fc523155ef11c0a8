#include "allowance/duty_eligibility.h"

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

Duration JoinDelay(const DutyStanding& conditions) {
  if (!conditions.hears_most) {
    return kJoinDelayIfMostSilent;
  }
  return conditions.has_started_lately ? kJoinDelayAfterStart : kJoinDelay;
}

}  // namespace

void UpdateEligibility(DutyEligibility& eligibility,
                       const DutyStanding& conditions,
                       TimePoint now) {
  if (eligibility.candidate_since == TimePoint() ||
      eligibility.is_candidate != conditions.is_candidate) {
    eligibility.is_candidate = conditions.is_candidate;
    eligibility.candidate_since = now;
  }
  const Duration elapsed = now - eligibility.candidate_since;
  if (!conditions.is_candidate) {
    eligibility.takes_part = eligibility.takes_part && elapsed < kLeaveDelay;
    return;
  }
  eligibility.takes_part =
      eligibility.takes_part || elapsed >= JoinDelay(conditions);
}

}  // namespace parsleyquay
