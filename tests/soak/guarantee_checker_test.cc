#include "soak/guarantee_checker.h"

#include <catch2/catch.hpp>

#include "soak/fault_schedule.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));

TEST_CASE("a request that is served once violates no guarantee") {
  GuaranteeChecker checker;
  RecordSent(checker, "a", false, false);
  RecordRun(checker, "a", kStart);
  RecordCallerOutcome(checker, "a", {.status = 200}, kStart);
  CHECK(checker.violations.empty());
}

TEST_CASE("each kind of violation is found") {
  GuaranteeChecker checker;
  RecordSent(checker, "a", false, false);
  SECTION("a request that is not idempotent runs twice") {
    RecordRun(checker, "a", kStart);
    RecordRun(checker, "a", kStart);
  }
  SECTION("a request that has run is reported as not executed") {
    RecordRun(checker, "a", kStart);
    RecordCallerOutcome(checker, "a", {.status = 503}, kStart);
  }
  SECTION("a request runs after it was reported as not executed") {
    RecordCallerOutcome(checker, "a", {.status = 429}, kStart);
    RecordRun(checker, "a", kStart);
  }
  SECTION("a response without a run") {
    RecordCallerOutcome(checker, "a", {.status = 200}, kStart);
  }
  SECTION("a response with another body") {
    RecordRun(checker, "a", kStart);
    RecordCallerOutcome(checker, "a",
                        {.status = 200, .has_expected_body = false}, kStart);
  }
  SECTION("no response") {
    RecordCallerOutcome(checker, "a", {.status = 0}, kStart);
  }
  SECTION("a late response") {
    RecordRun(checker, "a", kStart);
    RecordCallerOutcome(checker, "a", {.status = 200, .is_late = true}, kStart);
  }
  CHECK(checker.violations.size() == 1);
}

TEST_CASE("a killed instance need not send a response") {
  GuaranteeChecker checker;
  RecordSent(checker, "a", false, false);
  RecordCallerOutcome(checker, "a",
                      {.status = 0, .was_instance_unavailable = true}, kStart);
  CHECK(checker.violations.empty());
}

TEST_CASE("a window with more requests than the limit allows is found") {
  const RateLimitBound rate = {.rate = 2, .burst = 1, .slack = 1};
  const auto count_violations = [&](int count) {
    GuaranteeChecker checker;
    for (int i = 0; i < count; ++i) {
      const std::string id = std::to_string(i);
      RecordSent(checker, id, true, true);
      RecordRun(checker, id, kStart + milliseconds(10 * i));
    }
    CheckRateLimit(checker, rate);
    return checker.violations.size();
  };
  CHECK(count_violations(12) == 0);
  CHECK(count_violations(13) == 1);
}

TEST_CASE("a seed gives the same faults each time") {
  const auto faults = GenerateFaultSchedule(7, seconds(30), 4);
  CHECK(faults == GenerateFaultSchedule(7, seconds(30), 4));
  CHECK(faults != GenerateFaultSchedule(8, seconds(30), 4));
  CHECK(faults.size() == 20);
}

}  // namespace
}  // namespace parsleyquay
