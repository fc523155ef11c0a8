#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "rate_limiting/fallback_quota.h"
#include "rate_limiting/shard_owner_eligibility.h"
#include "rate_limiting/workspace_token_buckets.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));
const WorkspaceConfiguration usual_configuration{.requests_per_second = 20,
                                                 .burst = 30};
constexpr RateLimitTolerance kTolerance{.window = seconds(5),
                                        .overshoot = 0.1,
                                        .slack = 20};

TEST_CASE("a bucket begins empty and fills to the burst") {
  WorkspaceTokenBuckets token_buckets;
  EnsureTokenBucket(token_buckets, "w", kStart);
  CHECK_FALSE(
      ReserveToken(token_buckets, "w", usual_configuration, Duration(0), kStart)
          .is_granted);
  int granted = 0;
  while (ReserveToken(token_buckets, "w", usual_configuration, Duration(0),
                      kStart + seconds(60))
             .is_granted) {
    ++granted;
  }
  CHECK(granted == 30);
}

TEST_CASE("a request may wait for a token that comes soon") {
  WorkspaceTokenBuckets token_buckets;
  EnsureTokenBucket(token_buckets, "w", kStart);
  const auto reservation = ReserveToken(token_buckets, "w", usual_configuration,
                                        milliseconds(100), kStart);
  CHECK(reservation.is_granted);
  CHECK(reservation.retry_after == milliseconds(50));
  CHECK_FALSE(ReserveToken(token_buckets, "w", usual_configuration,
                           milliseconds(60), kStart)
                  .is_granted);
}

TEST_CASE("a lowered limit binds from the next request on") {
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

// A seeded search: homes that change hands at any time, instances cut off from
// them that spend their own share, everybody asking for as much as there is.
TEST_CASE("no window exceeds the bound, whatever is cut or moved") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    constexpr std::size_t kInstances = 36;
    std::vector<SlidingWindow> spares(kInstances);
    WorkspaceTokenBuckets token_buckets;
    std::vector<TimePoint> let_through;
    for (int step = 0; step < 1'500; ++step) {
      const TimePoint now = kStart + milliseconds(20 * step);
      if (random() % 97 == 0) {
        token_buckets = {};  // another instance takes over
        EnsureTokenBucket(token_buckets, "w", now);
      }
      for (int ask = 0; ask < 6; ++ask) {
        const std::size_t instance = random() % kInstances;
        const bool is_cut =
            (instance + static_cast<std::size_t>(step) / 200) % 3 == 0;
        const long share = FallbackQuota(usual_configuration, kTolerance,
                                         instance, kInstances);
        const bool is_granted =
            is_cut ? ConsumeFallbackQuota(spares[instance], share,
                                          kTolerance.window, now)
                   : ReserveToken(token_buckets, "w", usual_configuration,
                                  Duration(0), now)
                         .is_granted;
        if (is_granted) {
          let_through.push_back(now);
        }
      }
    }
    const double bound = (usual_configuration.requests_per_second * 5 +
                          usual_configuration.burst) *
                             1.1 +
                         20;
    for (std::size_t first = 0, last = 0; first < let_through.size(); ++first) {
      while (last < let_through.size() &&
             let_through[last] - let_through[first] <= kTolerance.window) {
        ++last;
      }
      REQUIRE(static_cast<double>(last - first) <= bound);
    }
  }
}

TEST_CASE("a moment's view of the members moves no duty") {
  ShardOwnerEligibility eligibility;
  TimePoint now = TimePoint(seconds(1'000));
  const auto see = [&](ShardOwnerConditions conditions, Duration lasting) {
    for (const TimePoint end = now + lasting; now < end;
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
  const ShardOwnerConditions other = {.is_candidate = false,
                                      .is_at_least_half_alive = true};
  SECTION("one that has just started takes itself for the first") {
    CHECK_FALSE(see(first, milliseconds(1'000)));
    CHECK_FALSE(see(other, milliseconds(1'000)));
    CHECK_FALSE(see(first, milliseconds(1'000)));
  }
  SECTION("one that moves up to the place of one that left takes part soon") {
    CHECK_FALSE(see(other, milliseconds(5'000)));
    CHECK(see(promoted, milliseconds(250)));
  }
  SECTION("one that stays first takes part") {
    CHECK(see(first, milliseconds(1'500)));
  }
  SECTION("one that is cut off hears nobody for a while") {
    CHECK_FALSE(see(alone, milliseconds(3'500)));
    CHECK_FALSE(see(other, milliseconds(250)));
  }
  SECTION("the last that lives takes part") {
    CHECK(see(alone, milliseconds(4'000)));
  }
  SECTION("one that was passed over for a lost digest keeps its duties") {
    REQUIRE(see(first, milliseconds(1'500)));
    CHECK(see(other, milliseconds(3'500)));
    CHECK(see(first, milliseconds(250)));
  }
  SECTION("one that is passed over for good lays them down") {
    REQUIRE(see(first, milliseconds(1'500)));
    CHECK_FALSE(see(other, milliseconds(5'250)));
  }
}

}  // namespace
}  // namespace parsleyquay
