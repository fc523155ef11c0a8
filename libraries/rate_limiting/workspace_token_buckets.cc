#include "rate_limiting/workspace_token_buckets.h"

#include <algorithm>

namespace parsleyquay {

namespace {

Duration FromSeconds(double count) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(count));
}

}  // namespace

void EnsureTokenBucket(WorkspaceTokenBuckets& token_buckets,
                       const std::string& workspace,
                       TimePoint now) {
  token_buckets.buckets.try_emplace(workspace, TokenBucket{0, now});
}

TokenReservation ReserveToken(WorkspaceTokenBuckets& token_buckets,
                              const std::string& workspace,
                              const WorkspaceConfiguration& configuration,
                              Duration max_wait,
                              TimePoint now,
                              double reserve) {
  EnsureTokenBucket(token_buckets, workspace, now);
  TokenBucket& bucket = token_buckets.buckets.at(workspace);
  const double accrued =
      ToSeconds(now - bucket.filled_at) * configuration.requests_per_second;
  bucket.tokens =
      std::min(bucket.tokens + accrued, std::max(1., configuration.burst));
  bucket.filled_at = now;
  const double missing = std::max(0., 1 + reserve - bucket.tokens);
  const Duration wait =
      FromSeconds(missing / configuration.requests_per_second);
  // The tokens that accrue while there is a reserve are for other requests.
  const bool may_wait = reserve <= 0;
  if (wait > (may_wait ? max_wait : Duration(0))) {
    return {false, wait};
  }
  // A reserved token makes the balance negative.
  bucket.tokens -= 1;
  return {true, wait};
}

}  // namespace parsleyquay
