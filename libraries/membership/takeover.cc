#include "membership/takeover.h"

#include <algorithm>
#include <set>

namespace parsleyquay {

namespace {

// Members, by name and incarnation, that can support no earlier view.
std::set<PastMember> MembersBeyondEarlierViews(
    const FleetState& fleet,
    const MembershipState& membership) {
  std::set<PastMember> members(fleet.stopped_members.begin(),
                               fleet.stopped_members.end());
  members.insert(fleet.released_members.begin(), fleet.released_members.end());
  for (std::size_t bit = 0; bit < membership.names.size(); ++bit) {
    const auto member = fleet.view.members.find(membership.names[bit]);
    if (HasBit(membership.view_holders, bit) &&
        member != fleet.view.members.end()) {
      members.insert({member->second.name, member->second.incarnation,
                      member->second.failure_domain});
    }
  }
  return members;
}

}  // namespace

bool AreEarlierViewsSuperseded(const FleetState& fleet,
                               const MembershipState& membership,
                               std::uint64_t settled_version) {
  if (membership.view_version != fleet.view.version) {
    return false;
  }
  const std::set<PastMember> beyond =
      MembersBeyondEarlierViews(fleet, membership);
  return std::ranges::all_of(fleet.past_views, [&](const PastView& past) {
    const auto count = std::ranges::count_if(
        past.members,
        [&](const PastMember& member) { return beyond.contains(member); });
    return past.members.empty() || past.version < settled_version ||
           static_cast<std::size_t>(count) >= MajorityOf(past.members.size());
  });
}

Takeover MergeSettledVersion(Takeover takeover, std::uint64_t settled_version) {
  takeover.settled_version =
      std::max(takeover.settled_version, settled_version);
  return takeover;
}

Takeover UpdateTakeover(Takeover takeover,
                        const FleetState& fleet,
                        const MembershipState& membership,
                        TimePoint now) {
  if (takeover.view_version != fleet.view.version) {
    takeover.view_version = fleet.view.version;
    takeover.superseded_at.reset();
  }
  if (!takeover.superseded_at &&
      AreEarlierViewsSuperseded(fleet, membership, takeover.settled_version)) {
    takeover.superseded_at = now;
    takeover.settled_version = fleet.view.version;
  }
  return takeover;
}

bool HaveEarlierLeasesExpired(const Takeover& takeover,
                              std::uint64_t view_version,
                              TimePoint now) {
  return takeover.view_version == view_version && takeover.superseded_at &&
         now >=
             *takeover.superseded_at + kViewLeaseDuration + kClockDriftMargin;
}

}  // namespace parsleyquay
