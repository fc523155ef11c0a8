#include "event/loop_stall_detector.h"

#include <catch2/catch.hpp>
#include <ctime>
#include <optional>

#include "support/await.h"

namespace parsleyquay {
namespace {

constexpr Duration kLimit = milliseconds(500);
constexpr Duration kStall = milliseconds(900);
constexpr std::clock_t kBusyProcessorTime = CLOCKS_PER_SEC / 5;

struct Watched {
  Watched() { this->detector.Start(); }
  EventLoop loop;
  std::optional<LoopStall> stall;
  LoopStallDetector detector{this->loop, kLimit, [this](const LoopStall& seen) {
                               this->stall = seen;
                             }};
};

TEST_CASE("an action that runs for long is reported with its CPU time") {
  Watched watched;
  // On a busy machine the process gets the processor only for a part of the
  // stall, so the action also waits until it has used enough of it.
  Timer busy(watched.loop, [&] {
    const TimePoint until = watched.loop.Now() + kStall;
    const std::clock_t used_before = std::clock();
    while (watched.loop.Now() < until ||
           std::clock() - used_before < kBusyProcessorTime) {
    }
  });
  busy.StartOnce(milliseconds(1));
  REQUIRE(RunLoopUntil(
      watched.loop, [&] { return watched.stall.has_value(); }, seconds(20)));
  CHECK(watched.stall->duration > kLimit);
  CHECK(watched.stall->cpu_time > milliseconds(100));
}

TEST_CASE("a process that was suspended is reported with little CPU time") {
  Watched watched;
  watched.loop.clock().Pause();
  watched.loop.clock().Advance(kStall);
  REQUIRE(RunLoopUntil(
      watched.loop, [&] { return watched.stall.has_value(); }, seconds(5)));
  CHECK(watched.stall->cpu_time < kLimit);
}

TEST_CASE("a loop that processes its events is not reported") {
  Watched watched;
  CHECK_FALSE(RunLoopUntil(
      watched.loop, [&] { return watched.stall.has_value(); }, seconds(1)));
}

}  // namespace
}  // namespace parsleyquay
