#ifndef PARSLEYQUAY_RATE_LIMITING_FALLBACK_QUOTA_H_
#define PARSLEYQUAY_RATE_LIMITING_FALLBACK_QUOTA_H_

#include "base/sliding_window.h"
#include "routing/fleet_configuration.h"

namespace parsleyquay {

// How many requests the fleet may admit beyond a workspace's rate limit. In any
// `window` it may admit `(rate * window + burst) * (1 + overshoot) + slack`.
struct RateLimitTolerance {
  Duration window = seconds(5);
  double overshoot = 0;  // fraction of what the limit admits in a window
  double slack = 0;      // requests per window

  bool operator==(const RateLimitTolerance&) const = default;
};

// Returns how many requests of a workspace one instance may admit in a window
// while it cannot reach the instance that enforces the workspace's rate limit.
// The quotas of all instances add up to no more than the tolerance. `rank` is
// the position of the instance among all `instance_count` instances, from 0.
long FallbackQuota(const WorkspaceConfiguration& configuration,
                   const RateLimitTolerance& tolerance,
                   std::size_t rank,
                   std::size_t instance_count);

// What determines whether an instance may use its quota.
struct FallbackQuotaKnowledge {
  TimePoint started_at;           // of this process
  bool has_read_members = false;  // the records of all instances

  bool operator==(const FallbackQuotaKnowledge&) const = default;
};

// Returns whether an instance may use its quota. A process that has just
// started does not know what an earlier one of the same instance has admitted
// in this window, nor the instances that start at the same time. Before it has
// read which instances there are, it would use the quotas of all of them.
bool IsFallbackQuotaUsable(const FallbackQuotaKnowledge& knowledge,
                           const RateLimitTolerance& tolerance,
                           TimePoint now);

// Admits one request if fewer than `quota` have been admitted in the window.
// Returns whether it did. `used` holds the times of the admitted requests.
bool ConsumeFallbackQuota(SlidingWindow& used,
                          long quota,
                          Duration window,
                          TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RATE_LIMITING_FALLBACK_QUOTA_H_
