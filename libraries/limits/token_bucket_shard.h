#ifndef PARSLEYQUAY_LIMITS_TOKEN_BUCKET_SHARD_H_
#define PARSLEYQUAY_LIMITS_TOKEN_BUCKET_SHARD_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.h"
#include "declaration/declaration.h"

namespace parsleyquay {

// Fill rate and capacity of one shard, in tokens.
struct ShardLimits {
  double rate_per_second = 0;
  double burst = 0;

  bool operator==(const ShardLimits&) const = default;
};

// Splits a workspace's rate and burst evenly over shards. Each shard has its
// own owner, so that the loss of one owner leaves the other shards available.
std::vector<ShardLimits> SplitIntoShards(const Workspace& workspace);

// Returns the key by which the shard's owner is chosen.
std::string ShardKey(const std::string& workspace, std::size_t index);

// Tokens granted to another instance, which may spend them until they expire.
struct OutstandingGrant {
  double tokens = 0;
  TimePoint expires_at;

  bool operator==(const OutstandingGrant&) const = default;
};

// The token bucket of one shard, kept by its owner.
//
// Tokens that other instances may still spend count against the burst:
// level + outstanding <= burst at all times. A token that is spent in a window
// was outstanding or in the bucket at the window's start, or was added during
// it, so that all instances together never spend more than
// rate x window + burst.
struct TokenBucketShard {
  ShardLimits limits;
  double level = 0;  // tokens in the bucket
  TimePoint updated_at;
  std::vector<OutstandingGrant>
      outstanding_grants;  // not yet known to have expired

  bool operator==(const TokenBucketShard&) const = default;
};

// Creates a shard with a level of at most the burst and no grants.
TokenBucketShard MakeTokenBucketShard(ShardLimits limits,
                                      double level,
                                      TimePoint now);

// Changes the limits. Outstanding grants stay; the level is reduced if needed
// to keep level + outstanding <= burst.
TokenBucketShard WithLimits(TokenBucketShard shard,
                            ShardLimits limits,
                            TimePoint now);

// Adds the tokens accrued until `now` and removes expired grants.
TokenBucketShard Refill(TokenBucketShard shard, TimePoint now);

// Returns how long an instance may hold granted tokens: half of burst / rate,
// but 20 to 200 ms. It is limited because outstanding grants keep the bucket
// from refilling.
Duration GrantLifetime(const ShardLimits& limits);

// The result of taking tokens from a shard.
struct TokenWithdrawal {
  TokenBucketShard shard;              // the updated shard
  double tokens = 0;                   // whole tokens taken, 0 if none
  Duration retry_after = Duration(0);  // until a token is available, if none
};

// Takes up to `wanted` whole tokens that the owner spends immediately.
TokenWithdrawal SpendLocally(TokenBucketShard shard,
                             double wanted,
                             TimePoint now);

// Takes up to `wanted` whole tokens as an outstanding grant to another
// instance.
TokenWithdrawal GrantTokens(TokenBucketShard shard,
                            double wanted,
                            TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LIMITS_TOKEN_BUCKET_SHARD_H_
