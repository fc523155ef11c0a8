#ifndef PARSLEYQUAY_MEMBERSHIP_TAKEOVER_H_
#define PARSLEYQUAY_MEMBERSHIP_TAKEOVER_H_

#include <optional>

#include "base/clock.h"
#include "fleet/fleet_state.h"
#include "membership/membership_state.h"

namespace parsleyquay {

// Tracks when the owners in the present view may take over from those in
// earlier views, some of whose members may still run without knowing the
// present view.
struct Takeover {
  std::uint64_t view_version = 0;  // the present view
  // When all earlier views were first known to be superseded by it.
  std::optional<TimePoint> superseded_at;
  // All views before this version are superseded, whichever members join or
  // leave later.
  std::uint64_t settled_version = 0;

  bool operator==(const Takeover&) const = default;
};

// Whether all earlier views are superseded: a majority of each one, from
// `settled_version` on, is known to hold the present view or to have stopped.
// From then on no member can renew its lease on an earlier view.
bool AreEarlierViewsSuperseded(const FleetState& fleet,
                               const MembershipState& membership,
                               std::uint64_t settled_version);

// Merges the version that another instance reported; keeps the maximum.
Takeover MergeSettledVersion(Takeover takeover, std::uint64_t settled_version);

// Updates the takeover. To be called whenever the fleet's state or the
// membership state has changed.
Takeover UpdateTakeover(Takeover takeover,
                        const FleetState& fleet,
                        const MembershipState& membership,
                        TimePoint now);

// Whether all leases on views before `view_version` have expired:
// kViewLeaseDuration and kClockDriftMargin have passed since these views were
// known to be superseded.
bool HaveEarlierLeasesExpired(const Takeover& takeover,
                              std::uint64_t view_version,
                              TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_MEMBERSHIP_TAKEOVER_H_
