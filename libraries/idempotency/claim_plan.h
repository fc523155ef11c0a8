#ifndef PARSLEYQUAY_IDEMPOTENCY_CLAIM_PLAN_H_
#define PARSLEYQUAY_IDEMPOTENCY_CLAIM_PLAN_H_

#include <string>
#include <vector>

#include "fleet/fleet_state.h"

namespace parsleyquay {

// Number of instances that store the claim of each idempotency key.
constexpr std::size_t kOwnersPerKey = 2;

// Whether an earlier claim of the key, if there is one, can still be found.
enum class ClaimHistory {
  kComplete,  // one of the members in the plan stores it
  kLost,      // all owners of the key under some past view are gone
};

// The members to contact before a request with an idempotency key may run.
struct ClaimPlan {
  std::vector<std::string> owners;  // all must record the claim, in this order
  // Former owners that may store a claim made under a past view, one group per
  // view. One member of each group must state that it has no claim; an owner
  // that records the claim thereby states it too.
  std::vector<std::vector<std::string>> former_owner_groups;
  ClaimHistory history = ClaimHistory::kComplete;

  bool operator==(const ClaimPlan&) const = default;
};

// Plans a claim by the present view and the past views, which reach back
// kPastViewRetentionMs. Released members are left out of past views, because
// each has handed its claims over to the owners of the view without it.
ClaimPlan PlanClaim(const FleetState& fleet, const std::string& key_digest);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_IDEMPOTENCY_CLAIM_PLAN_H_
