#include "soak/promise_ledger.h"

#include <catch2/catch.hpp>

#include "soak/fault_schedule.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));

TEST_CASE("a request that is served once breaks no promise") {
  PromiseLedger ledger;
  NoteSent(ledger, "a", false, false);
  NoteRun(ledger, "a", kStart);
  NoteEnd(ledger, "a", {.status = 200}, kStart);
  CHECK(ledger.breaches.empty());
}

TEST_CASE("the ledger finds each broken promise") {
  PromiseLedger ledger;
  NoteSent(ledger, "a", false, false);
  SECTION("a doubled effect") {
    NoteRun(ledger, "a", kStart);
    NoteRun(ledger, "a", kStart);
  }
  SECTION("a refusal of what has run") {
    NoteRun(ledger, "a", kStart);
    NoteEnd(ledger, "a", {.status = 503}, kStart);
  }
  SECTION("a run after a refusal") {
    NoteEnd(ledger, "a", {.status = 429}, kStart);
    NoteRun(ledger, "a", kStart);
  }
  SECTION("an answer made up") {
    NoteEnd(ledger, "a", {.status = 200}, kStart);
  }
  SECTION("a garbled answer") {
    NoteRun(ledger, "a", kStart);
    NoteEnd(ledger, "a", {.status = 200, .is_right_body = false}, kStart);
  }
  SECTION("a lost answer") {
    NoteEnd(ledger, "a", {.status = 0}, kStart);
  }
  SECTION("a late answer") {
    NoteRun(ledger, "a", kStart);
    NoteEnd(ledger, "a", {.status = 200, .is_late = true}, kStart);
  }
  CHECK(ledger.breaches.size() == 1);
}

TEST_CASE("an instance that was killed owes no answer") {
  PromiseLedger ledger;
  NoteSent(ledger, "a", false, false);
  NoteEnd(ledger, "a", {.status = 0, .is_excused = true}, kStart);
  CHECK(ledger.breaches.empty());
}

TEST_CASE("a window with more than the rate is found") {
  const MeteredRate rate = {.rate = 2, .burst = 1, .slack = 1};
  const auto breaches = [&](int count) {
    PromiseLedger ledger;
    for (int i = 0; i < count; ++i) {
      const std::string id = std::to_string(i);
      NoteSent(ledger, id, true, true);
      NoteRun(ledger, id, kStart + milliseconds(10 * i));
    }
    CheckRate(ledger, rate);
    return ledger.breaches.size();
  };
  CHECK(breaches(12) == 0);
  CHECK(breaches(13) == 1);
}

TEST_CASE("a seed gives the same faults each time") {
  const auto faults = DrawSchedule(7, seconds(30), 4);
  CHECK(faults == DrawSchedule(7, seconds(30), 4));
  CHECK(faults != DrawSchedule(8, seconds(30), 4));
  CHECK(faults.size() == 20);
}

}  // namespace
}  // namespace parsleyquay
