#ifndef PARSLEYQUAY_RATE_LIMITING_FALLBACK_QUOTA_H_
#define PARSLEYQUAY_RATE_LIMITING_FALLBACK_QUOTA_H_

#include "base/sliding_window.h"
#include "routing/fleet_configuration.h"

namespace parsleyquay {

// What the fleet may let through beyond a workspace's rate and burst.
struct RateLimitTolerance {
  Duration window = seconds(5);
  double overshoot = 0;  // share of rate and burst
  double slack = 0;      // requests in a window

  bool operator==(const RateLimitTolerance&) const = default;
};

// How many requests of a workspace one instance may let through in a window
// without asking the workspace's home. All instances' shares add up to what
// the tolerance leaves beyond rate and burst. `rank` is the instance's place
// among all `instances`, from 0.
long FallbackQuota(const WorkspaceConfiguration& configuration,
                   const RateLimitTolerance& tolerance,
                   std::size_t rank,
                   std::size_t instances);

// Takes one request of the share; returns whether there was one left.
bool ConsumeFallbackQuota(SlidingWindow& used,
                          long share,
                          Duration window,
                          TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RATE_LIMITING_FALLBACK_QUOTA_H_
