#ifndef PARSLEYQUAY_ALLOWANCE_SPARE_SHARE_H_
#define PARSLEYQUAY_ALLOWANCE_SPARE_SHARE_H_

#include "base/sliding_window.h"
#include "routing/fleet_configuration.h"

namespace parsleyquay {

// What the fleet may let through beyond a workspace's rate and burst.
struct AllowanceTolerance {
  Duration window = seconds(5);
  double overshoot = 0;  // share of rate and burst
  double slack = 0;      // requests in a window

  bool operator==(const AllowanceTolerance&) const = default;
};

// How many requests of a workspace one instance may let through in a window
// without asking the workspace's home. All instances' shares add up to what
// the tolerance leaves beyond rate and burst. `rank` is the instance's place
// among all `instances`, from 0.
long SpareRequests(const WorkspaceTerms& terms,
                   const AllowanceTolerance& tolerance,
                   std::size_t rank,
                   std::size_t instances);

// Takes one request of the share; returns whether there was one left.
bool TakeSpare(SlidingWindow& used, long share, Duration window, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ALLOWANCE_SPARE_SHARE_H_
