#include "rate_limiting/fallback_quota.h"

namespace parsleyquay {

namespace {

// Fraction of the tolerance that is handed out as quotas. The rest covers
// requests that are executed twice because of a retry, and requests that arrive
// even closer together than kArrivalJitter allows for.
constexpr double kQuotaFraction = 0.75;

// Requests may arrive at the backend servers closer together than they were
// admitted, by up to this much.
constexpr Duration kArrivalJitter = milliseconds(300);

}  // namespace

long FallbackQuota(const WorkspaceConfiguration& configuration,
                   const RateLimitTolerance& tolerance,
                   std::size_t rank,
                   std::size_t instance_count) {
  const double window = ToSeconds(tolerance.window);
  const double limit =
      configuration.requests_per_second * window + configuration.burst;
  const double total_quota =
      (limit * tolerance.overshoot + tolerance.slack) * kQuotaFraction;
  return IntegerShare(total_quota, rank, instance_count);
}

bool IsFallbackQuotaUsable(const FallbackQuotaKnowledge& knowledge,
                           const RateLimitTolerance& tolerance,
                           TimePoint now) {
  return knowledge.has_read_members &&
         now - knowledge.started_at > tolerance.window + kArrivalJitter;
}

bool ConsumeFallbackQuota(SlidingWindow& used,
                          long quota,
                          Duration window,
                          TimePoint now) {
  return TryAcquireFromWindow(used, quota, window + kArrivalJitter, now);
}

}  // namespace parsleyquay
