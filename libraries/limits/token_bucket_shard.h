#ifndef PARSLEYQUAY_LIMITS_TOKEN_BUCKET_SHARD_H_
#define PARSLEYQUAY_LIMITS_TOKEN_BUCKET_SHARD_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.h"
#include "declaration/declaration.h"

namespace parsleyquay {

// How fast one share fills and how much it holds.
struct ShardLimits {
  double rate_per_second = 0;
  double burst = 0;

  bool operator==(const ShardLimits&) const = default;
};

// Splits a workspace's rate and burst. Each share has a home of its own, so
// that the loss of one home leaves the others serving.
std::vector<ShardLimits> SplitIntoShards(const Workspace& workspace);

// Names the share for the choice of its home.
std::string ShardKey(const std::string& workspace, std::size_t index);

struct OutstandingGrant {
  double tokens = 0;
  TimePoint expires_at;

  bool operator==(const OutstandingGrant&) const = default;
};

// The token bucket of one share at its home.
//
// Grants that other instances may still spend count against the burst:
// level + outstanding <= burst at all times. Whatever is spent in a window was
// outstanding or in the level at its start, or was added during it, so the sum
// over all instances never exceeds rate x window + burst.
struct TokenBucketShard {
  ShardLimits limits;
  double level = 0;
  TimePoint updated_at;
  std::vector<OutstandingGrant> outstanding_grants;

  bool operator==(const TokenBucketShard&) const = default;
};

TokenBucketShard MakeTokenBucketShard(ShardLimits limits,
                                      double level,
                                      TimePoint now);

// Changes the limits in place; what is out and what is left stays counted.
TokenBucketShard WithLimits(TokenBucketShard shard,
                            ShardLimits limits,
                            TimePoint now);

// Adds what has accrued and forgets grants that can no longer be spent.
TokenBucketShard Refill(TokenBucketShard shard, TimePoint now);

// How long an instance may keep a grant. Short against burst / rate, so that
// grants on their way do not throttle the share.
Duration GrantLifetime(const ShardLimits& limits);

struct TokenWithdrawal {
  TokenBucketShard shard;
  double tokens = 0;                   // whole tokens, 0 when there are none
  Duration retry_after = Duration(0);  // until a token will be there
};

// Takes up to `wanted` whole tokens for use at once by the home itself.
TokenWithdrawal SpendLocally(TokenBucketShard shard,
                             double wanted,
                             TimePoint now);

// Takes up to `wanted` whole tokens for another instance.
TokenWithdrawal GrantTokens(TokenBucketShard shard,
                            double wanted,
                            TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LIMITS_TOKEN_BUCKET_SHARD_H_
