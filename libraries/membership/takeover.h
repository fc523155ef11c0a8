#ifndef PARSLEYQUAY_MEMBERSHIP_TAKEOVER_H_
#define PARSLEYQUAY_MEMBERSHIP_TAKEOVER_H_

#include <optional>

#include "base/clock.h"
#include "fleet/fleet_state.h"
#include "membership/membership_state.h"

namespace parsleyquay {

// Tracks when rights that a silent member held may be used by its successor.
struct Takeover {
  std::uint64_t view_version = 0;
  std::optional<TimePoint> superseded_at;
  // Every view older than this one was once known to be superseded, and so
  // stays superseded whatever becomes of its members.
  std::uint64_t settled_version = 0;

  bool operator==(const Takeover&) const = default;
};

// Whether a majority of each earlier view from `settled_version` on is known
// to hold the present one or to have ended. From then on no member can gather
// new support for a right of an earlier view.
bool AreEarlierViewsSuperseded(const FleetState& fleet,
                               const MembershipState& membership,
                               std::uint64_t settled_version);

// Takes over what another instance knows to be settled.
Takeover MergeSettledVersion(Takeover takeover, std::uint64_t settled_version);

// To be called whenever the fleet or the membership has changed.
Takeover UpdateTakeover(Takeover takeover,
                        const FleetState& fleet,
                        const MembershipState& membership,
                        TimePoint now);

// Whether every right of a view before `view_version` has lapsed:
// kViewLeaseDuration and a margin have passed since support for it ended.
bool HaveEarlierLeasesExpired(const Takeover& takeover,
                              std::uint64_t view_version,
                              TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_MEMBERSHIP_TAKEOVER_H_
