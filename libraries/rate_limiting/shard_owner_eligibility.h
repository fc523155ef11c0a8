#ifndef PARSLEYQUAY_RATE_LIMITING_SHARD_OWNER_ELIGIBILITY_H_
#define PARSLEYQUAY_RATE_LIMITING_SHARD_OWNER_ELIGIBILITY_H_

#include "base/clock.h"

namespace parsleyquay {

// Whether an instance takes part in the fleet's duties. Each join and each
// leaving deals the duties anew and empties buckets, so neither follows a
// moment's view of the members.
struct DutyEligibility {
  bool takes_part = false;
  bool is_candidate = false;  // as seen last
  TimePoint candidate_since;  // or not a candidate since

  bool operator==(const DutyEligibility&) const = default;
};

// What an instance sees of its place among the members.
struct DutyStanding {
  bool is_candidate = false;  // first or second of its failure domain
  bool hears_most = false;    // of all members
  bool has_started_lately = false;

  bool operator==(const DutyStanding&) const = default;
};

void UpdateEligibility(DutyEligibility& eligibility,
                       const DutyStanding& standing,
                       TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RATE_LIMITING_SHARD_OWNER_ELIGIBILITY_H_
