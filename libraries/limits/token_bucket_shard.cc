#include "limits/token_bucket_shard.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace parsleyquay {

namespace {

// Every workspace has three homes where its burst allows it, so that the loss
// of one leaves two thirds of the rate; one more for each multiple of this
// rate, so that no home is overrun.
constexpr double kRatePerShard = 1'000;
constexpr double kMinimumShards = 3;
constexpr double kMinimumShardBurst = 4;

constexpr Duration kShortestLifetime = milliseconds(20);
constexpr Duration kLongestLifetime = milliseconds(200);
constexpr double kLifetimeShareOfBurst = 0.5;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double Outstanding(const TokenBucketShard& shard) {
  return std::accumulate(shard.outstanding_grants.begin(),
                         shard.outstanding_grants.end(), 0.0,
                         [](double sum, const OutstandingGrant& grant) {
                           return sum + grant.tokens;
                         });
}

TokenBucketShard Accrue(TokenBucketShard shard, TimePoint until) {
  if (until <= shard.updated_at) {
    return shard;
  }
  const double room = shard.limits.burst - Outstanding(shard);
  const double accrued =
      ToSeconds(until - shard.updated_at) * shard.limits.rate_per_second;
  shard.level = std::max(shard.level, std::min(shard.level + accrued, room));
  shard.updated_at = until;
  return shard;
}

TokenWithdrawal Take(TokenBucketShard shard, double wanted, TimePoint now) {
  shard = Refill(std::move(shard), now);
  // The margin keeps a level of 0.9999999 from costing a whole token's wait.
  constexpr double kRounding = 1e-9;
  const double tokens =
      std::max(0.0, std::min(std::floor(shard.level + kRounding), wanted));
  shard.level = std::max(0.0, shard.level - tokens);
  TokenWithdrawal withdrawal{std::move(shard), tokens, Duration(0)};
  if (tokens < 1) {
    const double missing = 1 - withdrawal.shard.level;
    withdrawal.retry_after =
        FromSeconds(missing / withdrawal.shard.limits.rate_per_second);
  }
  return withdrawal;
}

}  // namespace

std::vector<ShardLimits> SplitIntoShards(const Workspace& workspace) {
  const double by_rate = std::max(
      kMinimumShards, std::ceil(workspace.rate_per_second / kRatePerShard));
  const double by_burst = std::floor(workspace.burst / kMinimumShardBurst);
  const double count = std::max(1.0, std::min(by_rate, by_burst));
  const ShardLimits limits{workspace.rate_per_second / count,
                           workspace.burst / count};
  return std::vector<ShardLimits>(static_cast<std::size_t>(count), limits);
}

std::string ShardKey(const std::string& workspace, std::size_t index) {
  return "share " + std::to_string(index) + " " + workspace;
}

TokenBucketShard MakeTokenBucketShard(ShardLimits limits,
                                      double level,
                                      TimePoint now) {
  return {limits, std::min(level, limits.burst), now, {}};
}

TokenBucketShard WithLimits(TokenBucketShard shard,
                            ShardLimits limits,
                            TimePoint now) {
  shard = Refill(std::move(shard), now);
  shard.limits = limits;
  shard.level = std::clamp(shard.level, 0.0,
                           std::max(0.0, limits.burst - Outstanding(shard)));
  return shard;
}

TokenBucketShard Refill(TokenBucketShard shard, TimePoint now) {
  std::ranges::sort(shard.outstanding_grants, {},
                    &OutstandingGrant::expires_at);
  // While a grant is out it takes up room, so accrual goes from one expiry to
  // the next.
  while (!shard.outstanding_grants.empty() &&
         shard.outstanding_grants.front().expires_at <= now) {
    const TimePoint expiry = shard.outstanding_grants.front().expires_at;
    shard = Accrue(std::move(shard), expiry);
    shard.outstanding_grants.erase(shard.outstanding_grants.begin());
  }
  return Accrue(std::move(shard), now);
}

Duration GrantLifetime(const ShardLimits& limits) {
  const Duration wanted = FromSeconds(kLifetimeShareOfBurst * limits.burst /
                                      limits.rate_per_second);
  return std::clamp(wanted, kShortestLifetime, kLongestLifetime);
}

TokenWithdrawal SpendLocally(TokenBucketShard shard,
                             double wanted,
                             TimePoint now) {
  return Take(std::move(shard), wanted, now);
}

TokenWithdrawal GrantTokens(TokenBucketShard shard,
                            double wanted,
                            TimePoint now) {
  TokenWithdrawal withdrawal = Take(std::move(shard), wanted, now);
  if (withdrawal.tokens > 0) {
    const TimePoint expires_at = now + GrantLifetime(withdrawal.shard.limits);
    withdrawal.shard.outstanding_grants.push_back(
        {withdrawal.tokens, expires_at});
  }
  return withdrawal;
}

}  // namespace parsleyquay
