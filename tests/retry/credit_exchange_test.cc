#include "retry/credit_exchange.h"

#include <catch2/catch.hpp>

#include "retry/credit_division.h"

namespace parsleyquay {
namespace {

constexpr FleetRetryLimit kLimit = {.ratio = 0.25,
                                    .slack = 0,
                                    .window = seconds(10)};
constexpr TimePoint kStart = TimePoint(seconds(1'000));
constexpr SlackShare kShare = {.rank = {0, 1}};

// An aggregator and a member of its failure domain, whose clocks differ.
struct Pair {
  static constexpr Duration kClockOffset = seconds(500);

  CreditExchange aggregator{.name = "a",
                            .incarnation = "a1",
                            .is_aggregator = true};
  CreditExchange member{.name = "m", .incarnation = "m1"};

  Pair() {
    this->aggregator.pools["s"].needs["x"] = {{{0, 9}}, {{0, 9}}, kStart};
  }

  // The member hears a digest after `delay`.
  void Hear(TimePoint now, Duration delay = Duration(0)) {
    OnCreditNews(this->member, "a", true, MakeCreditNews(this->aggregator, now),
                 now + delay + kClockOffset);
  }

  // The member has earned two retries at `now` and gives them later.
  CreditMessage Give(TimePoint earned_at, TimePoint now) {
    for (int request = 0; request < 10; ++request) {
      EarnRetry(this->member.budgets["s"], kLimit, kShare,
                earned_at + kClockOffset);
    }
    const auto outgoing = RunInterval(this->member, kLimit, now + kClockOffset);
    REQUIRE(outgoing.size() == 1);
    REQUIRE(outgoing[0].receiver == "a");
    return outgoing[0].message;
  }

  double Pooled(TimePoint now) const {
    return ValidAmount(this->aggregator.pools.at("s").credit, now);
  }
};

TEST_CASE("a credit message is accepted once") {
  Pair pair;
  pair.Hear(kStart);
  const CreditMessage message = pair.Give(kStart, kStart + milliseconds(600));
  const TimePoint now = kStart + milliseconds(610);
  CHECK(OnCreditMessage(pair.aggregator, message, kLimit, now));
  CHECK(pair.Pooled(now) == Approx(2));
  CHECK_FALSE(OnCreditMessage(pair.aggregator, message, kLimit, now));
  CHECK(pair.Pooled(now) == Approx(2));
  // The giver has deducted it.
  CHECK(ValidAmount(pair.member.budgets["s"].own, now + Pair::kClockOffset) ==
        Approx(0).margin(1e-9));
}

// Guards against credit that a delayed message or digest makes valid longer.
TEST_CASE("credit expires at its giver and receiver at once, or earlier") {
  const Duration validity = CreditValidity(kLimit);
  for (const Duration delay : {milliseconds(0), milliseconds(300)}) {
    Pair pair;
    pair.Hear(kStart, delay);
    const CreditMessage message = pair.Give(kStart, kStart + milliseconds(800));
    OnCreditMessage(pair.aggregator, message, kLimit,
                    kStart + milliseconds(900));
    CHECK(pair.Pooled(kStart + validity - delay - milliseconds(101)) > 1.9);
    CHECK(pair.Pooled(kStart + validity - delay) == 0);
  }
}

TEST_CASE("credit that arrives after its validity is lost") {
  Pair pair;
  pair.Hear(kStart);
  const CreditMessage message = pair.Give(kStart, kStart + milliseconds(600));
  const TimePoint now = kStart + CreditValidity(kLimit);
  OnCreditMessage(pair.aggregator, message, kLimit, now);
  CHECK(pair.Pooled(now) == 0);
}

// Guards against ends of validity that refer to the clock of another process,
// and against a second acceptance by a process that has no memory of the first.
TEST_CASE("another process of the receiver does not accept credit") {
  Pair pair;
  pair.Hear(kStart);
  const CreditMessage message = pair.Give(kStart, kStart + milliseconds(600));
  CreditExchange restarted{
      .name = "a", .incarnation = "a2", .is_aggregator = true};
  OnCreditMessage(restarted, message, kLimit, kStart + milliseconds(610));
  CHECK(ValidAmount(restarted.pools["s"].credit, kStart + milliseconds(610)) ==
        0);
}

TEST_CASE("without need and without an aggregator no message is sent") {
  Pair pair;
  for (int request = 0; request < 40; ++request) {
    EarnRetry(pair.member.budgets["s"], kLimit, kShare, kStart);
  }
  CHECK(RunInterval(pair.member, kLimit, kStart + seconds(1)).empty());
  pair.aggregator.pools.clear();
  pair.Hear(kStart);
  CHECK(RunInterval(pair.member, kLimit, kStart + seconds(1)).empty());
}

TEST_CASE("an aggregator grants credit to members, then to other aggregators") {
  CreditExchange aggregator{
      .name = "a", .incarnation = "a1", .is_aggregator = true};
  CreditExchange member{.name = "m", .incarnation = "m1"};
  CreditExchange other{.name = "b", .incarnation = "b1", .is_aggregator = true};
  OnCreditNews(member, "a", true, MakeCreditNews(aggregator, kStart), kStart);
  for (int i = 0; i < 2; ++i) {
    RecordUnmetRetry(member.budgets["s"], 1, kStart);
  }
  for (auto& [receiver, message] : RunInterval(member, kLimit, kStart)) {
    OnCreditMessage(aggregator, message, kLimit, kStart);
  }
  other.pools["s"].needs["x"] = {{{0, 5}}, {{0, 5}}, kStart};
  OnCreditNews(aggregator, "b", false, MakeCreditNews(other, kStart), kStart);
  AddCredit(aggregator.pools["s"].credit, 6.5, kStart + seconds(1));
  for (auto& [receiver, message] : RunInterval(aggregator, kLimit, kStart)) {
    OnCreditMessage(receiver == "m" ? member : other, message, kLimit, kStart);
  }
  // The need of two requests, and two for a variation.
  CHECK(ValidAmount(member.budgets["s"].foreign, kStart) == Approx(4));
  CHECK(ValidAmount(other.pools["s"].credit, kStart) == Approx(2));
  CHECK(ValidAmount(aggregator.pools["s"].credit, kStart) == Approx(0.5));
  for (int i = 0; i < 4; ++i) {
    CHECK(SpendRetry(member.budgets["s"], kLimit, kShare, 1, kStart));
  }
  CHECK_FALSE(SpendRetry(member.budgets["s"], kLimit, kShare, 1, kStart));
}

TEST_CASE("retries are divided by priority, then equally") {
  using Parts = std::map<std::string, long>;
  const std::map<std::string, RetryNeed> needs = {
      {"a", {{0, 1}, {1, 5}}}, {"b", {{0, 6}}}, {"c", {{0, 6}, {2, 9}}}};
  CHECK(DivideRetries(9, needs, 0) == Parts{{"a", 1}, {"b", 4}, {"c", 4}});
  CHECK(DivideRetries(20, needs, 0) == Parts{{"a", 6}, {"b", 6}, {"c", 8}});
  CHECK(DivideRetries(1, needs, 1) == Parts{{"b", 1}});
  CHECK(DivideRetries(0, needs, 0).empty());
  CHECK(DivideRetries(5, {}, 3).empty());
}

TEST_CASE("a new process does not use the slack that an earlier one may have") {
  PooledRetryBudget budget;
  const FleetRetryLimit limit{.slack = 2};
  CHECK_FALSE(CanSpendRetry(budget, limit, {{0, 1}, false}, kStart));
  CHECK(CanSpendRetry(budget, limit, {{0, 1}, true}, kStart));
}

// Guards against saved credit of all instances that exceeds the slack when all
// of them spend it at once.
TEST_CASE("the slack covers the credit that instances save") {
  const FleetRetryLimit limit{.slack = 58};
  constexpr std::size_t kInstances = 165;
  double saved = 0;
  for (std::size_t rank = 0; rank < kInstances; ++rank) {
    PooledRetryBudget budget;
    for (int request = 0; request < 100; ++request) {
      EarnRetry(budget, limit, {{rank, kInstances}}, kStart);
    }
    saved += budget.saved;
  }
  CHECK(saved == Approx(23));
}

TEST_CASE("credit messages and news are decoded as they were encoded") {
  CreditMessage message{.sender = "m",
                        .sender_incarnation = "m1",
                        .sequence = 7,
                        .sender_clock = kStart,
                        .receiver_incarnation = "a1",
                        .is_grant = true};
  message.services["s"] = {{{{kStart, 0.16}, {kStart + seconds(1), 3}}},
                           {{0, 2}, {3, 1}}};
  CHECK(DecodeCreditMessage(EncodeCreditMessage(message)) == message);
  const CreditNews news{.incarnation = "a1",
                        .clock = kStart,
                        .open_needs = {{"s", {{0, 2}}}},
                        .needed_services = {"s", "t"}};
  CHECK(DecodeCreditNews(EncodeCreditNews(news)) == news);
}

TEST_CASE("malformed credit messages are rejected") {
  CreditMessage message{.sender = "m"};
  message.services["s"] = {{{{kStart, 1}}}, {{0, 2}}};
  const Json::Value valid = EncodeCreditMessage(message);
  REQUIRE(DecodeCreditMessage(valid));
  for (const char* name : {"f", "i", "n", "c", "t", "g"}) {
    Json::Value parameters = valid;
    parameters[name] = Json::Value(Json::objectValue);
    CHECK_FALSE(DecodeCreditMessage(parameters));
  }
  Json::Value negative = valid;
  negative["s"]["s"]["l"][0][1] = -1;
  CHECK_FALSE(DecodeCreditMessage(negative));
  Json::Value priority = valid;
  priority["s"]["s"]["n"]["high"] = 1;
  CHECK_FALSE(DecodeCreditMessage(priority));
  CHECK_FALSE(DecodeCreditNews(Json::Value()));
  CHECK_FALSE(DecodeCreditNews(Json::Value("news")));
}

}  // namespace
}  // namespace parsleyquay
