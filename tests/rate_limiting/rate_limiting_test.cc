#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "rate_limiting/fallback_quota.h"
#include "rate_limiting/shard_owner_eligibility.h"
#include "rate_limiting/workspace_token_buckets.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));
const WorkspaceConfiguration default_configuration{.requests_per_second = 20,
                                                   .burst = 30};
constexpr RateLimitTolerance kTolerance{.window = seconds(5),
                                        .overshoot = 0.1,
                                        .slack = 20};

TEST_CASE("a token bucket is empty at first and fills up to the burst") {
  WorkspaceTokenBuckets token_buckets;
  EnsureTokenBucket(token_buckets, "w", kStart);
  CHECK_FALSE(ReserveToken(token_buckets, "w", default_configuration,
                           Duration(0), kStart)
                  .is_granted);
  int granted = 0;
  while (ReserveToken(token_buckets, "w", default_configuration, Duration(0),
                      kStart + seconds(60))
             .is_granted) {
    ++granted;
  }
  CHECK(granted == 30);
}

TEST_CASE("a request may reserve a token that accrues soon") {
  WorkspaceTokenBuckets token_buckets;
  EnsureTokenBucket(token_buckets, "w", kStart);
  const auto reservation = ReserveToken(
      token_buckets, "w", default_configuration, milliseconds(100), kStart);
  CHECK(reservation.is_granted);
  CHECK(reservation.retry_after == milliseconds(50));
  CHECK_FALSE(ReserveToken(token_buckets, "w", default_configuration,
                           milliseconds(60), kStart)
                  .is_granted);
}

TEST_CASE("a lowered rate limit applies from the next request on") {
  WorkspaceTokenBuckets token_buckets;
  EnsureTokenBucket(token_buckets, "w", kStart);
  const WorkspaceConfiguration lower{.requests_per_second = 2, .burst = 3};
  int granted = 0;
  while (
      ReserveToken(token_buckets, "w", lower, Duration(0), kStart + seconds(60))
          .is_granted) {
    ++granted;
  }
  CHECK(granted == 3);
}

// Simulates overload with fixed seeds: the token bucket is taken over, empty,
// by another instance at random times, and the instances that are partitioned
// from it admit requests by their fallback quota.
TEST_CASE("no window exceeds the limit under handovers and partitions") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    constexpr std::size_t kInstances = 36;
    std::vector<SlidingWindow> fallbacks(kInstances);
    WorkspaceTokenBuckets token_buckets;
    std::vector<TimePoint> admitted;
    for (int step = 0; step < 1'500; ++step) {
      const TimePoint now = kStart + milliseconds(20 * step);
      if (random() % 97 == 0) {
        token_buckets = {};  // another instance takes over
        EnsureTokenBucket(token_buckets, "w", now);
      }
      for (int request = 0; request < 6; ++request) {
        const std::size_t instance = random() % kInstances;
        const bool is_partitioned =
            (instance + static_cast<std::size_t>(step) / 200) % 3 == 0;
        const long quota = FallbackQuota(default_configuration, kTolerance,
                                         instance, kInstances);
        const bool is_granted =
            is_partitioned
                ? ConsumeFallbackQuota(fallbacks[instance], quota,
                                       kTolerance.window, now)
                : ReserveToken(token_buckets, "w", default_configuration,
                               Duration(0), now)
                      .is_granted;
        if (is_granted) {
          admitted.push_back(now);
        }
      }
    }
    const double limit = (default_configuration.requests_per_second * 5 +
                          default_configuration.burst) *
                             1.1 +
                         20;
    for (std::size_t first = 0, last = 0; first < admitted.size(); ++first) {
      while (last < admitted.size() &&
             admitted[last] - admitted[first] <= kTolerance.window) {
        ++last;
      }
      REQUIRE(static_cast<double>(last - first) <= limit);
    }
  }
}

// Guards against quotas that are used twice: by an earlier process of the
// instance in the same window, or by instances that know no others yet.
TEST_CASE("a process that has just started uses no fallback quota") {
  const auto is_usable = [](bool has_read_members, Duration since_start) {
    return IsFallbackQuotaUsable(
        {.started_at = kStart, .has_read_members = has_read_members},
        kTolerance, kStart + since_start);
  };
  CHECK_FALSE(is_usable(true, Duration(0)));
  CHECK_FALSE(is_usable(true, kTolerance.window));
  CHECK(is_usable(true, kTolerance.window + seconds(1)));
  CHECK_FALSE(is_usable(false, 100 * kTolerance.window));
}

TEST_CASE("a short change of the member list moves no shard") {
  ShardOwnerEligibility eligibility;
  TimePoint now = TimePoint(seconds(1'000));
  // Keeps the conditions for `duration`; returns whether the instance is
  // eligible to own shards at the end.
  const auto hold = [&](ShardOwnerConditions conditions, Duration duration) {
    for (const TimePoint end = now + duration; now < end;
         now += milliseconds(250)) {
      UpdateEligibility(eligibility, conditions, now);
    }
    UpdateEligibility(eligibility, conditions, now);
    return eligibility.is_eligible;
  };
  const ShardOwnerConditions first = {.is_candidate = true,
                                      .is_at_least_half_alive = true,
                                      .has_started_recently = true};
  const ShardOwnerConditions promoted = {.is_candidate = true,
                                         .is_at_least_half_alive = true};
  const ShardOwnerConditions alone = {.is_candidate = true,
                                      .is_at_least_half_alive = false};
  const ShardOwnerConditions outranked = {.is_candidate = false,
                                          .is_at_least_half_alive = true};
  SECTION("an instance that has just started is briefly ranked first") {
    CHECK_FALSE(hold(first, milliseconds(1'000)));
    CHECK_FALSE(hold(outranked, milliseconds(1'000)));
    CHECK_FALSE(hold(first, milliseconds(1'000)));
  }
  SECTION("an instance that replaces one that has left becomes eligible soon") {
    CHECK_FALSE(hold(outranked, milliseconds(5'000)));
    CHECK(hold(promoted, milliseconds(250)));
  }
  SECTION("an instance that stays first becomes eligible") {
    CHECK(hold(first, milliseconds(1'500)));
  }
  SECTION("a partitioned instance is not eligible before the delay") {
    CHECK_FALSE(hold(alone, milliseconds(3'500)));
    CHECK_FALSE(hold(outranked, milliseconds(250)));
  }
  SECTION("the only instance alive becomes eligible") {
    CHECK(hold(alone, milliseconds(4'000)));
  }
  SECTION("an instance that is skipped for a lost digest keeps its shards") {
    REQUIRE(hold(first, milliseconds(1'500)));
    CHECK(hold(outranked, milliseconds(3'500)));
    CHECK(hold(first, milliseconds(250)));
  }
  SECTION("an instance that stays outranked gives up its shards") {
    REQUIRE(hold(first, milliseconds(1'500)));
    CHECK_FALSE(hold(outranked, milliseconds(5'250)));
  }
}

}  // namespace
}  // namespace parsleyquay
