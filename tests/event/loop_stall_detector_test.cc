#include "event/loop_stall_detector.h"

#include <catch2/catch.hpp>
#include <optional>

#include "support/await.h"

namespace parsleyquay {
namespace {

constexpr Duration kLimit = milliseconds(500);
constexpr Duration kStall = milliseconds(900);

struct Watched {
  Watched() { this->detector.Start(); }
  EventLoop loop;
  std::optional<LoopStall> stall;
  LoopStallDetector detector{this->loop, kLimit, [this](const LoopStall& seen) {
                               this->stall = seen;
                             }};
};

TEST_CASE("an action that computes for long is reported with its processor") {
  Watched watched;
  Timer busy(watched.loop, [&] {
    const TimePoint until = watched.loop.Now() + kStall;
    while (watched.loop.Now() < until) {
    }
  });
  busy.StartOnce(milliseconds(1));
  REQUIRE(RunLoopUntil(
      watched.loop, [&] { return watched.stall.has_value(); }, seconds(5)));
  CHECK(watched.stall->duration > kLimit);
  CHECK(watched.stall->cpu_time > milliseconds(100));
}

TEST_CASE("a process that was stopped has not computed") {
  Watched watched;
  watched.loop.clock().Pause();
  watched.loop.clock().Advance(kStall);
  REQUIRE(RunLoopUntil(
      watched.loop, [&] { return watched.stall.has_value(); }, seconds(5)));
  CHECK(watched.stall->cpu_time < kLimit);
}

TEST_CASE("a loop that serves its events is not reported") {
  Watched watched;
  CHECK_FALSE(RunLoopUntil(
      watched.loop, [&] { return watched.stall.has_value(); }, seconds(1)));
}

}  // namespace
}  // namespace parsleyquay
