#ifndef PARSLEYQUAY_RATE_LIMITING_SHARD_OWNER_ELIGIBILITY_H_
#define PARSLEYQUAY_RATE_LIMITING_SHARD_OWNER_ELIGIBILITY_H_

#include "base/clock.h"

namespace parsleyquay {

// Whether this instance may own shards of the workspaces, for whose rate limits
// it is then responsible. Every join and every departure reassigns shards and
// empties the token buckets that move, so a change of the member list has an
// effect only after it has lasted for a while.
//
// Shards are called duties in settings and log lines.
struct ShardOwnerEligibility {
  bool is_eligible = false;
  bool is_candidate = false;  // at the last update
  TimePoint candidate_since;  // when `is_candidate` last changed

  bool operator==(const ShardOwnerEligibility&) const = default;
};

// The conditions that determine the eligibility, from this instance's own
// member table.
struct ShardOwnerConditions {
  bool is_candidate = false;  // ranked first or second in its failure domain
  bool is_at_least_half_alive = false;  // of all members
  bool has_started_recently = false;

  bool operator==(const ShardOwnerConditions&) const = default;
};

// Sets `is_eligible` once this instance has been a candidate for a delay that
// depends on the conditions, and clears it once it has not been one for 5
// seconds. Must be called periodically.
void UpdateEligibility(ShardOwnerEligibility& eligibility,
                       const ShardOwnerConditions& conditions,
                       TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RATE_LIMITING_SHARD_OWNER_ELIGIBILITY_H_
