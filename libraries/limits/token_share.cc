#include "limits/token_share.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace parsleyquay {

namespace {

// A workspace has one shard for each kRatePerShard requests a second, so that
// no owner is overloaded, and at least kMinShards, so that the loss of one
// owner leaves two thirds of the rate. It has fewer if a shard's burst would
// fall below kMinShardBurst.
constexpr double kRatePerShard = 1'000;
constexpr double kMinShards = 3;
constexpr double kMinShardBurst = 4;

constexpr Duration kMinLifetime = milliseconds(20);
constexpr Duration kMaxLifetime = milliseconds(200);
// Lifetime of a grant as a fraction of burst / rate.
constexpr double kLifetimeFraction = 0.5;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double Outstanding(const TokenShare& share) {
  return std::accumulate(share.grants.begin(), share.grants.end(), 0.0,
                         [](double sum, const OutstandingGrant& grant) {
                           return sum + grant.tokens;
                         });
}

TokenShare Accrue(TokenShare share, TimePoint until) {
  if (until <= share.updated_at) {
    return share;
  }
  const double room = share.limits.burst - Outstanding(share);
  const double accrued =
      ToSeconds(until - share.updated_at) * share.limits.rate_per_second;
  share.level = std::max(share.level, std::min(share.level + accrued, room));
  share.updated_at = until;
  return share;
}

Withdrawal TakeTokens(TokenShare share, double wanted, TimePoint now) {
  share = Refill(std::move(share), now);
  // A level that rounding errors leave just below a whole token counts as one.
  constexpr double kRoundingTolerance = 1e-9;
  const double tokens = std::max(
      0.0, std::min(std::floor(share.level + kRoundingTolerance), wanted));
  share.level = std::max(0.0, share.level - tokens);
  Withdrawal withdrawal{std::move(share), tokens, Duration(0)};
  if (tokens < 1) {
    const double missing = 1 - withdrawal.share.level;
    withdrawal.retry_after =
        FromSeconds(missing / withdrawal.share.limits.rate_per_second);
  }
  return withdrawal;
}

}  // namespace

std::vector<ShareLimits> SplitIntoShares(const Workspace& workspace) {
  const double by_rate = std::max(
      kMinShards, std::ceil(workspace.rate_per_second / kRatePerShard));
  const double by_burst = std::floor(workspace.burst / kMinShardBurst);
  const double count = std::max(1.0, std::min(by_rate, by_burst));
  const ShareLimits limits{workspace.rate_per_second / count,
                           workspace.burst / count};
  return std::vector<ShareLimits>(static_cast<std::size_t>(count), limits);
}

std::string ShareKey(const std::string& workspace, std::size_t index) {
  return "share " + std::to_string(index) + " " + workspace;
}

TokenShare MakeTokenShare(ShareLimits limits, double level, TimePoint now) {
  return {limits, std::min(level, limits.burst), now, {}};
}

TokenShare WithLimits(TokenShare share, ShareLimits limits, TimePoint now) {
  share = Refill(std::move(share), now);
  share.limits = limits;
  share.level = std::clamp(share.level, 0.0,
                           std::max(0.0, limits.burst - Outstanding(share)));
  return share;
}

TokenShare Refill(TokenShare share, TimePoint now) {
  std::ranges::sort(share.grants, {}, &OutstandingGrant::expires_at);
  // Outstanding grants reduce the room for accrual, so accrue up to each expiry
  // in turn.
  while (!share.grants.empty() && share.grants.front().expires_at <= now) {
    const TimePoint expiry = share.grants.front().expires_at;
    share = Accrue(std::move(share), expiry);
    share.grants.erase(share.grants.begin());
  }
  return Accrue(std::move(share), now);
}

Duration GrantLifetime(const ShareLimits& limits) {
  const Duration wanted =
      FromSeconds(kLifetimeFraction * limits.burst / limits.rate_per_second);
  return std::clamp(wanted, kMinLifetime, kMaxLifetime);
}

Withdrawal SpendHere(TokenShare share, double wanted, TimePoint now) {
  return TakeTokens(std::move(share), wanted, now);
}

Withdrawal Grant(TokenShare share, double wanted, TimePoint now) {
  Withdrawal withdrawal = TakeTokens(std::move(share), wanted, now);
  if (withdrawal.tokens > 0) {
    const TimePoint expires_at = now + GrantLifetime(withdrawal.share.limits);
    withdrawal.share.grants.push_back({withdrawal.tokens, expires_at});
  }
  return withdrawal;
}

}  // namespace parsleyquay
