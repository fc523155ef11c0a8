#include "allowance/allowance_home.h"

#include <algorithm>

namespace parsleyquay {

namespace {

Duration FromSeconds(double count) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(count));
}

}  // namespace

void BeginMetering(AllowanceHome& limiter,
                   const std::string& workspace,
                   TimePoint now) {
  limiter.buckets.try_emplace(workspace, AllowanceBucket{0, now});
}

AllowanceAnswer TakeToken(AllowanceHome& limiter,
                          const std::string& workspace,
                          const WorkspaceTerms& terms,
                          Duration max_wait,
                          TimePoint now) {
  BeginMetering(limiter, workspace, now);
  AllowanceBucket& bucket = limiter.buckets.at(workspace);
  const double accrued =
      ToSeconds(now - bucket.filled_at) * terms.requests_per_second;
  bucket.tokens = std::min(bucket.tokens + accrued, std::max(1., terms.burst));
  bucket.filled_at = now;
  const double missing = std::max(0., 1 - bucket.tokens);
  const Duration wait = FromSeconds(missing / terms.requests_per_second);
  if (wait > max_wait) {
    return {false, wait};
  }
  // A reserved token makes the balance negative.
  bucket.tokens -= 1;
  return {true, wait};
}

}  // namespace parsleyquay
