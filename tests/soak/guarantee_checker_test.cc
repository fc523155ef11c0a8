#include "soak/guarantee_checker.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "soak/fault_schedule.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));

CallerOutcome Served() {
  return {
      .status = 200, .signature = "sig", .answered_id = "a", .body = "body"};
}

// Returns a checker that knows of request "a", which server "s" answered.
GuaranteeChecker AfterAnswer(const ServerAnswer& answer) {
  GuaranteeChecker checker;
  RecordSent(checker, "a", false, false);
  RecordRun(checker, "a", kStart);
  RecordAnswer(checker, "a", answer);
  return checker;
}

ServerAnswer Answer(int status) {
  return {.status = status, .signature = "sig", .body = "body", .server = "s"};
}

TEST_CASE("a request that is served once violates no guarantee") {
  GuaranteeChecker checker = AfterAnswer(Answer(200));
  RecordCallerOutcome(checker, "a", Served(), kStart);
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
    RecordCallerOutcome(checker, "a", Served(), kStart);
  }
  SECTION("no response") {
    RecordCallerOutcome(checker, "a", {.status = 0}, kStart);
  }
  SECTION("a late response") {
    RecordRun(checker, "a", kStart);
    RecordAnswer(checker, "a", Answer(200));
    CallerOutcome late = Served();
    late.is_late = true;
    RecordCallerOutcome(checker, "a", late, kStart);
  }
  CHECK(checker.violations.size() == 1);
}

TEST_CASE("each kind of mix-up of responses is found") {
  ServerAnswer answer = Answer(200);
  CallerOutcome outcome = Served();
  SECTION("a success without a signature") {
    outcome.signature = "";
  }
  SECTION("a success where the server answered with a failure") {
    answer.status = 500;
  }
  SECTION("a failure with another status than the server's") {
    answer.status = 500;
    outcome.status = 502;
  }
  SECTION("a signature that no server sent for the request") {
    outcome.signature = "other";
  }
  SECTION("a response that names another request") {
    outcome.answered_id = "b";
  }
  SECTION("a part of the body") {
    outcome.body = "bod";
  }
  SECTION("a response that was broken off looks complete") {
    answer.is_whole = false;
  }
  SECTION("a signed refusal of a request that has run") {
    answer.status = 503;
    outcome.status = 503;
  }
  GuaranteeChecker checker = AfterAnswer(answer);
  RecordCallerOutcome(checker, "a", outcome, kStart);
  CHECK(checker.violations.size() == 1);
}

TEST_CASE("an unsigned failure and the server's own failure are no mix-up") {
  GuaranteeChecker checker = AfterAnswer(Answer(500));
  CallerOutcome outcome = Served();
  outcome.status = 500;
  RecordCallerOutcome(checker, "a", outcome, kStart);
  RecordCallerOutcome(checker, "a", {.status = 502}, kStart);
  CHECK(checker.violations.empty());
}

TEST_CASE("only a response that may have begun may be broken off") {
  ServerAnswer answer = Answer(200);
  answer.is_whole = false;
  const auto count_violations = [&](std::size_t size) {
    answer.body = std::string(size, 'x');
    GuaranteeChecker checker = AfterAnswer(answer);
    RecordCallerOutcome(checker, "a", {.status = 0}, kStart);
    return checker.violations.size();
  };
  CHECK(count_violations(1'000) == 1);
  CHECK(count_violations(100'000) == 0);
}

// Returns the violations when a request reaches a server `after` it left.
std::size_t ViolationsAfterDeparture(GuaranteeChecker checker, Duration after) {
  RecordArrival(checker, "a", "s", kStart + after);
  return checker.violations.size();
}

TEST_CASE("a request that reaches a server after it has left is found") {
  GuaranteeChecker checker;
  RecordSent(checker, "a", true, false, 1);
  RecordDeparture(checker, "s", kStart);
  CHECK(ViolationsAfterDeparture(checker, milliseconds(2'000)) == 0);
  CHECK(ViolationsAfterDeparture(checker, milliseconds(2'001)) == 1);
  SECTION("whatever happens to other instances") {
    RecordDisturbance(checker, 0, Disturbance::kDown, kStart);
    CHECK(ViolationsAfterDeparture(checker, milliseconds(2'001)) == 1);
  }
  SECTION("unless its instance was out of touch up to 3 s before") {
    RecordDisturbance(checker, 1, Disturbance::kAny, kStart + seconds(1));
    CHECK(ViolationsAfterDeparture(checker, milliseconds(3'999)) == 0);
    CHECK(ViolationsAfterDeparture(checker, milliseconds(4'000)) == 1);
  }
  SECTION("unless the store was disturbed up to 3 s before") {
    checker.store_disturbed_at = kStart + seconds(1);
    CHECK(ViolationsAfterDeparture(checker, milliseconds(3'999)) == 0);
    CHECK(ViolationsAfterDeparture(checker, milliseconds(4'000)) == 1);
  }
  SECTION("unless connections to the server were held up") {
    checker.held_up_at["s"] = kStart;
    CHECK(ViolationsAfterDeparture(checker, milliseconds(2'999)) == 0);
    CHECK(ViolationsAfterDeparture(checker, milliseconds(3'000)) == 1);
  }
  SECTION("unless the store was not stable when it acknowledged that") {
    checker.departures.clear();
    checker.store_disturbed_at = kStart - seconds(2);
    RecordDeparture(checker, "s", kStart);
    CHECK(ViolationsAfterDeparture(checker, seconds(5)) == 0);
  }
}

TEST_CASE("a request to a server that had told of its leaving is found") {
  ServerAnswer answer = Answer(200);
  answer.says_leaving = true;
  GuaranteeChecker checker = AfterAnswer(answer);
  RecordCallerOutcome(checker, "a", Served(), kStart);
  CHECK(ViolationsAfterDeparture(checker, milliseconds(2'000)) == 0);
  CHECK(ViolationsAfterDeparture(checker, milliseconds(2'001)) == 1);
  SECTION("also while the store is disturbed") {
    checker.store_disturbed_at = kStart;
    RecordDisturbance(checker, 0, Disturbance::kAny, kStart);
    CHECK(ViolationsAfterDeparture(checker, milliseconds(2'001)) == 1);
  }
  SECTION("unless the instance was frozen up to 3 s before") {
    RecordDisturbance(checker, 0, Disturbance::kFrozen, kStart);
    CHECK(ViolationsAfterDeparture(checker, milliseconds(2'999)) == 0);
    CHECK(ViolationsAfterDeparture(checker, milliseconds(3'000)) == 1);
  }
  SECTION("unless the instance was restarted") {
    RecordDisturbance(checker, 0, Disturbance::kDown, kStart);
    CHECK(ViolationsAfterDeparture(checker, seconds(5)) == 0);
  }
  SECTION("unless another instance had passed that on") {
    RecordSent(checker, "a", true, false, 1);
    CHECK(ViolationsAfterDeparture(checker, seconds(5)) == 0);
  }
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
  CHECK(faults.size() >= 30);
  CHECK(std::ranges::is_sorted(faults, {}, &Fault::at));
}

TEST_CASE("servers leave, mostly beside a fault of the aggregator") {
  const auto faults = GenerateFaultSchedule(7, seconds(300), 4);
  const auto leaves = std::ranges::count_if(faults, [](const Fault& fault) {
    return fault.kind >= FaultKind::kServerLeaves &&
           fault.kind <= FaultKind::kServerTellsOfLeaving;
  });
  CHECK(leaves >= 100);
  CHECK(std::ranges::count(faults, kAggregatorTarget, &Fault::target) > 50);
}

}  // namespace
}  // namespace parsleyquay
