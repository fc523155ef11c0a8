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
std::vector<std::string> FindFormerOwners(
    const FleetState& fleet,
    const std::vector<PastMember>& members,
    const std::string& key_digest) {
  std::vector<std::string> former_owners;
  for (const std::string& owner :
       FindOwners(key_digest, members, kOwnersPerKey)) {
    const auto member = std::ranges::find(members, owner, &PastMember::name);
    if (IsStillMember(fleet, *member)) {
      former_owners.push_back(owner);
    }
  }
  return former_owners;
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
    std::vector<std::string> former_owners =
        FindFormerOwners(fleet, members, key_digest);
    if (former_owners.empty()) {
      plan.history = ClaimHistory::kLost;
    }
    groups.insert(std::move(former_owners));
  }
  plan.former_owner_groups.assign(groups.begin(), groups.end());
  return plan;
}

}  // namespace parsleyquay
