#ifndef PARSLEYQUAY_RATE_LIMITING_SHARD_OWNER_ELIGIBILITY_H_
#define PARSLEYQUAY_RATE_LIMITING_SHARD_OWNER_ELIGIBILITY_H_

#include "base/clock.h"

namespace parsleyquay {

// Whether an instance takes part in the fleet's duties. Each join and each
// leaving deals the duties anew and empties buckets, so neither follows a
// moment's view of the members.
struct ShardOwnerEligibility {
  bool is_eligible = false;
  bool is_candidate = false;  // as seen last
  TimePoint candidate_since;  // or not a candidate since

  bool operator==(const ShardOwnerEligibility&) const = default;
};

// What an instance sees of its place among the members.
struct ShardOwnerConditions {
  bool is_candidate = false;            // first or second of its failure domain
  bool is_at_least_half_alive = false;  // of all members
  bool has_started_recently = false;

  bool operator==(const ShardOwnerConditions&) const = default;
};

void UpdateEligibility(ShardOwnerEligibility& eligibility,
                       const ShardOwnerConditions& conditions,
                       TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RATE_LIMITING_SHARD_OWNER_ELIGIBILITY_H_
