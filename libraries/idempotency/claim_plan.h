#ifndef PARSLEYQUAY_IDEMPOTENCY_CLAIM_PLAN_H_
#define PARSLEYQUAY_IDEMPOTENCY_CLAIM_PLAN_H_

#include <string>
#include <vector>

#include "fleet/fleet_state.h"

namespace parsleyquay {

// How many instances remember each idempotency key.
constexpr std::size_t kOwnersPerKey = 2;

enum class ClaimHistory {
  kComplete,  // every earlier claim is remembered by one of those to be asked
  kLost,      // all instances that may have remembered one are gone
};

// Whom to ask before a request with an idempotency key may run.
struct ClaimPlan {
  std::vector<std::string> owners;  // each must record the claim, in this order
  // Members that may remember a claim made under an earlier view. One of each
  // group must state that it has none; homes count too.
  std::vector<std::vector<std::string>> former_owner_groups;
  ClaimHistory history = ClaimHistory::kComplete;

  bool operator==(const ClaimPlan&) const = default;
};

// Plans a claim by the present view and those of the last
// kPastViewRetentionMs. A member that was released handed its claims over to
// the homes of the view without it, so earlier views are read without it too.
ClaimPlan PlanClaim(const FleetState& fleet, const std::string& key_digest);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_IDEMPOTENCY_CLAIM_PLAN_H_
