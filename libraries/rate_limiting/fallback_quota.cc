#include "rate_limiting/fallback_quota.h"

namespace parsleyquay {

namespace {

// Of what is tolerated, the part left for requests that run twice and for
// those that arrive closer together than they were let through.
constexpr double kFallbackMargin = 0.75;

// Requests let through some time apart may arrive closer together.
constexpr Duration kArrivalJitter = milliseconds(300);

}  // namespace

long FallbackQuota(const WorkspaceConfiguration& configuration,
                   const RateLimitTolerance& tolerance,
                   std::size_t rank,
                   std::size_t instances) {
  const double window = ToSeconds(tolerance.window);
  const double usual =
      configuration.requests_per_second * window + configuration.burst;
  const double fallback =
      (usual * tolerance.overshoot + tolerance.slack) * kFallbackMargin;
  return IntegerShare(fallback, rank, instances);
}

bool ConsumeFallbackQuota(SlidingWindow& used,
                          long share,
                          Duration window,
                          TimePoint now) {
  return TryAcquireFromWindow(used, share, window + kArrivalJitter, now);
}

}  // namespace parsleyquay
