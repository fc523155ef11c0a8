#include "soak/guarantee_checker.h"

#include <catch2/catch.hpp>

#include "soak/fault_schedule.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));

TEST_CASE("a request that is served once breaks no promise") {
  GuaranteeChecker checker;
  RecordSent(checker, "a", false, false);
  RecordRun(checker, "a", kStart);
  RecordCallerOutcome(checker, "a", {.status = 200}, kStart);
  CHECK(checker.violations.empty());
}

TEST_CASE("the ledger finds each broken promise") {
  GuaranteeChecker checker;
  RecordSent(checker, "a", false, false);
  SECTION("a doubled effect") {
    RecordRun(checker, "a", kStart);
    RecordRun(checker, "a", kStart);
  }
  SECTION("a refusal of what has run") {
    RecordRun(checker, "a", kStart);
    RecordCallerOutcome(checker, "a", {.status = 503}, kStart);
  }
  SECTION("a run after a refusal") {
    RecordCallerOutcome(checker, "a", {.status = 429}, kStart);
    RecordRun(checker, "a", kStart);
  }
  SECTION("an answer made up") {
    RecordCallerOutcome(checker, "a", {.status = 200}, kStart);
  }
  SECTION("a garbled answer") {
    RecordRun(checker, "a", kStart);
    RecordCallerOutcome(checker, "a",
                        {.status = 200, .has_expected_body = false}, kStart);
  }
  SECTION("a lost answer") {
    RecordCallerOutcome(checker, "a", {.status = 0}, kStart);
  }
  SECTION("a late answer") {
    RecordRun(checker, "a", kStart);
    RecordCallerOutcome(checker, "a", {.status = 200, .is_late = true}, kStart);
  }
  CHECK(checker.violations.size() == 1);
}

TEST_CASE("an instance that was killed owes no answer") {
  GuaranteeChecker checker;
  RecordSent(checker, "a", false, false);
  RecordCallerOutcome(checker, "a", {.status = 0, .may_lack_response = true},
                      kStart);
  CHECK(checker.violations.empty());
}

TEST_CASE("a window with more than the rate is found") {
  const RateLimitBound rate = {.rate = 2, .burst = 1, .slack = 1};
  const auto breaches = [&](int count) {
    GuaranteeChecker checker;
    for (int i = 0; i < count; ++i) {
      const std::string id = std::to_string(i);
      RecordSent(checker, id, true, true);
      RecordRun(checker, id, kStart + milliseconds(10 * i));
    }
    CheckRate(checker, rate);
    return checker.violations.size();
  };
  CHECK(breaches(12) == 0);
  CHECK(breaches(13) == 1);
}

TEST_CASE("a seed gives the same faults each time") {
  const auto faults = GenerateFaultSchedule(7, seconds(30), 4);
  CHECK(faults == GenerateFaultSchedule(7, seconds(30), 4));
  CHECK(faults != GenerateFaultSchedule(8, seconds(30), 4));
  CHECK(faults.size() == 20);
}

}  // namespace
}  // namespace parsleyquay
