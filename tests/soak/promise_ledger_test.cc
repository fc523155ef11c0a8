#include "soak/promise_ledger.h"

#include <catch2/catch.hpp>

#include "soak/fault_schedule.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));

TEST_CASE("a request that is served once violates no guarantee") {
  PromiseLedger ledger;
  NoteSent(ledger, "a", false, false);
  NoteRun(ledger, "a", kStart);
  NoteEnd(ledger, "a", {.status = 200}, kStart);
  CHECK(ledger.breaches.empty());
}

TEST_CASE("each kind of violation is found") {
  PromiseLedger ledger;
  NoteSent(ledger, "a", false, false);
  SECTION("a request that is not idempotent runs twice") {
    NoteRun(ledger, "a", kStart);
    NoteRun(ledger, "a", kStart);
  }
  SECTION("a request that has run is reported as not executed") {
    NoteRun(ledger, "a", kStart);
    NoteEnd(ledger, "a", {.status = 503}, kStart);
  }
  SECTION("a request runs after it was reported as not executed") {
    NoteEnd(ledger, "a", {.status = 429}, kStart);
    NoteRun(ledger, "a", kStart);
  }
  SECTION("a response without a run") {
    NoteEnd(ledger, "a", {.status = 200}, kStart);
  }
  SECTION("a response with another body") {
    NoteRun(ledger, "a", kStart);
    NoteEnd(ledger, "a", {.status = 200, .is_right_body = false}, kStart);
  }
  SECTION("no response") {
    NoteEnd(ledger, "a", {.status = 0}, kStart);
  }
  SECTION("a late response") {
    NoteRun(ledger, "a", kStart);
    NoteEnd(ledger, "a", {.status = 200, .is_late = true}, kStart);
  }
  CHECK(ledger.breaches.size() == 1);
}

TEST_CASE("a killed instance need not send a response") {
  PromiseLedger ledger;
  NoteSent(ledger, "a", false, false);
  NoteEnd(ledger, "a", {.status = 0, .is_excused = true}, kStart);
  CHECK(ledger.breaches.empty());
}

TEST_CASE("a window with more requests than the limit allows is found") {
  const MeteredRate rate = {.rate = 2, .burst = 1, .slack = 1};
  const auto count_violations = [&](int count) {
    PromiseLedger ledger;
    for (int i = 0; i < count; ++i) {
      const std::string id = std::to_string(i);
      NoteSent(ledger, id, true, true);
      NoteRun(ledger, id, kStart + milliseconds(10 * i));
    }
    CheckRate(ledger, rate);
    return ledger.breaches.size();
  };
  CHECK(count_violations(12) == 0);
  CHECK(count_violations(13) == 1);
}

TEST_CASE("a seed gives the same faults each time") {
  const auto faults = DrawSchedule(7, seconds(30), 4);
  CHECK(faults == DrawSchedule(7, seconds(30), 4));
  CHECK(faults != DrawSchedule(8, seconds(30), 4));
  CHECK(faults.size() == 20);
}

}  // namespace
}  // namespace parsleyquay
