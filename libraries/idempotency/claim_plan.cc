#include "idempotency/claim_plan.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace parsleyquay {

namespace {

bool IsStillMember(const FleetState& fleet, const PastMember& member) {
  const auto found = fleet.view.members.find(member.name);
  return found != fleet.view.members.end() &&
         found->second.incarnation == member.incarnation;
}

std::vector<PastMember> WithoutReleased(const FleetState& fleet,
                                        const PastView& past) {
  std::vector<PastMember> members;
  std::ranges::copy_if(
      past.members, std::back_inserter(members), [&](const auto& member) {
        return std::ranges::find(fleet.released_members, member) ==
               fleet.released_members.end();
      });
  return members;
}

// The homes of the key in an earlier view that still run.
std::vector<std::string> FindWitnesses(const FleetState& fleet,
                                       const std::vector<PastMember>& members,
                                       const std::string& key_digest) {
  std::vector<std::string> witnesses;
  for (const std::string& owner :
       FindOwners(key_digest, members, kOwnersPerKey)) {
    const auto member = std::ranges::find(members, owner, &PastMember::name);
    if (IsStillMember(fleet, *member)) {
      witnesses.push_back(owner);
    }
  }
  return witnesses;
}

}  // namespace

ClaimPlan PlanClaim(const FleetState& fleet, const std::string& key_digest) {
  ClaimPlan plan;
  plan.owners =
      FindOwners(key_digest, ToPastMembers(fleet.view), kOwnersPerKey);
  std::set<std::vector<std::string>> groups;
  for (const PastView& past : fleet.past_views) {
    // No claim was made under a view with fewer members than homes.
    if (past.members.size() < kOwnersPerKey) {
      continue;
    }
    const std::vector<PastMember> members = WithoutReleased(fleet, past);
    if (members.empty()) {
      continue;
    }
    std::vector<std::string> witnesses =
        FindWitnesses(fleet, members, key_digest);
    if (witnesses.empty()) {
      plan.memory = ClaimMemory::kLost;
    }
    groups.insert(std::move(witnesses));
  }
  plan.witness_groups.assign(groups.begin(), groups.end());
  return plan;
}

}  // namespace parsleyquay
