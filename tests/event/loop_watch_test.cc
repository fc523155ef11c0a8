#include "event/loop_watch.h"

#include <catch2/catch.hpp>
#include <optional>

#include "support/await.h"

namespace parsleyquay {
namespace {

constexpr Duration kLimit = milliseconds(500);
constexpr Duration kStall = milliseconds(900);

struct Watched {
  Watched() { this->watch.Start(); }
  EventLoop loop;
  std::optional<LoopHold> hold;
  LoopWatch watch{this->loop, kLimit,
                  [this](const LoopHold& seen) { this->hold = seen; }};
};

TEST_CASE("an action that runs for long is reported with its CPU time") {
  Watched watched;
  Timer busy(watched.loop, [&] {
    const TimePoint until = watched.loop.Now() + kStall;
    while (watched.loop.Now() < until) {
    }
  });
  busy.StartOnce(milliseconds(1));
  REQUIRE(AwaitOn(
      watched.loop, [&] { return watched.hold.has_value(); }, seconds(5)));
  CHECK(watched.hold->held > kLimit);
  CHECK(watched.hold->processor > milliseconds(100));
}

TEST_CASE("a process that was suspended is reported with little CPU time") {
  Watched watched;
  watched.loop.clock().Pause();
  watched.loop.clock().Advance(kStall);
  REQUIRE(AwaitOn(
      watched.loop, [&] { return watched.hold.has_value(); }, seconds(5)));
  CHECK(watched.hold->processor < kLimit);
}

TEST_CASE("a loop that processes its events is not reported") {
  Watched watched;
  CHECK_FALSE(AwaitOn(
      watched.loop, [&] { return watched.hold.has_value(); }, seconds(1)));
}

}  // namespace
}  // namespace parsleyquay
