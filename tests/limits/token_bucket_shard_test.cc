#include "limits/token_bucket_shard.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <random>

#include "limits/granted_tokens.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart{seconds(1000)};

TEST_CASE("a share gives its burst at once and then its rate") {
  TokenBucketShard shard = MakeTokenBucketShard({10, 5}, 5, kStart);
  TokenWithdrawal first = SpendLocally(shard, 9, kStart);
  CHECK(first.tokens == 5);
  TokenWithdrawal none = SpendLocally(first.shard, 1, kStart);
  CHECK(none.tokens == 0);
  CHECK(none.retry_after == milliseconds(100));
  CHECK(SpendLocally(none.shard, 1, kStart + milliseconds(100)).tokens == 1);
}

TEST_CASE("a grant that is out keeps the share from refilling its place") {
  TokenBucketShard shard = MakeTokenBucketShard({100, 4}, 4, kStart);
  shard = GrantTokens(shard, 4, kStart).shard;
  const TimePoint before_expiry = kStart + GrantLifetime({100, 4}) / 2;
  CHECK(Refill(shard, before_expiry).level == 0);
  const TimePoint later = kStart + seconds(1);
  CHECK(Refill(shard, later).level == Approx(4));
}

TEST_CASE("a grant is not spent after its lifetime from the question") {
  GrantedTokens granted =
      AddGrant(GrantedTokens{}, 2, kStart, milliseconds(200));
  CHECK(SpendToken(granted, kStart + milliseconds(199)).is_spent);
  CHECK_FALSE(SpendToken(granted, kStart + milliseconds(200)).is_spent);
}

// The promise itself, over random demand of a home and of two borrowers whose
// questions and answers take up to 30 ms: no window of any length holds more
// than rate x window + burst.
TEST_CASE("no window exceeds rate and burst over all instances together") {
  const auto seed = GENERATE(range(1U, 21U));
  CAPTURE(seed);
  std::mt19937 random(seed);
  const ShardLimits limits{50, 8};
  TokenBucketShard shard = MakeTokenBucketShard(limits, limits.burst, kStart);
  struct Answer {
    TimePoint arrives_at;
    long tokens;
    TimePoint asked_at;
  };
  std::vector<Answer> answers;
  GrantedTokens granted;
  std::vector<TimePoint> spends;
  for (TimePoint now = kStart; now < kStart + seconds(20);
       now += milliseconds(1)) {
    if (random() % 10 == 0) {
      TokenWithdrawal own =
          SpendLocally(shard, static_cast<double>(random() % 4), now);
      shard = own.shard;
      spends.insert(spends.end(), static_cast<std::size_t>(own.tokens), now);
    }
    if (random() % 7 == 0) {
      const auto delay = milliseconds(random() % 30);
      TokenWithdrawal grant =
          GrantTokens(shard, static_cast<double>(random() % 6), now);
      shard = grant.shard;
      answers.push_back(
          {now + delay, static_cast<long>(grant.tokens), now - delay});
    }
    std::erase_if(answers, [&](const Answer& answer) {
      if (answer.arrives_at > now) {
        return false;
      }
      granted = AddGrant(granted, answer.tokens, answer.asked_at,
                         GrantLifetime(limits));
      return true;
    });
    if (random() % 5 == 0) {
      TokenSpendResult spend = SpendToken(granted, now);
      granted = spend.granted;
      if (spend.is_spent) {
        spends.push_back(now);
      }
    }
  }
  REQUIRE(spends.size() > 500);
  double worst = 0;
  for (std::size_t from = 0; from < spends.size(); ++from) {
    for (std::size_t to = from; to < spends.size(); ++to) {
      const double window =
          std::chrono::duration<double>(spends[to] - spends[from]).count();
      const double allowed = limits.rate_per_second * window + limits.burst;
      worst = std::max(worst, static_cast<double>(to - from + 1) - allowed);
    }
  }
  CHECK(worst <= 1e-6);
}

}  // namespace
}  // namespace parsleyquay
