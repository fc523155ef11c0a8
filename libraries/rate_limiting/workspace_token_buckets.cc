#include "rate_limiting/workspace_token_buckets.h"

#include <algorithm>

namespace parsleyquay {

namespace {

Duration ToDuration(double in_seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(in_seconds));
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
                              Duration patience,
                              TimePoint now) {
  EnsureTokenBucket(token_buckets, workspace, now);
  TokenBucket& bucket = token_buckets.buckets.at(workspace);
  const double gained =
      ToSeconds(now - bucket.filled_at) * configuration.requests_per_second;
  bucket.tokens =
      std::min(bucket.tokens + gained, std::max(1., configuration.burst));
  bucket.filled_at = now;
  const double missing = std::max(0., 1 - bucket.tokens);
  const Duration wait = ToDuration(missing / configuration.requests_per_second);
  if (wait > patience) {
    return {false, wait};
  }
  bucket.tokens -= 1;
  return {true, wait};
}

}  // namespace parsleyquay
