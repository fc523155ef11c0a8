#include "event/loop_stall_detector.h"

#include <ctime>
#include <utility>

namespace parsleyquay {

namespace {

constexpr Duration kTick = milliseconds(200);

Duration ProcessorTime() {
  timespec used = {};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return std::chrono::duration_cast<Duration>(
      seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

}  // namespace

LoopStallDetector::LoopStallDetector(
    EventLoop& loop,
    Duration limit,
    std::function<void(const LoopStall&)> on_stall)
    : loop(loop),
      limit(limit),
      on_stall(std::move(on_stall)),
      timer(loop, [this] { this->OnTick(); }) {}

void LoopStallDetector::Start() {
  this->ticked_at = this->loop.Now();
  this->processor_at_tick = ProcessorTime();
  this->timer.StartOnce(kTick);
}

void LoopStallDetector::OnTick() {
  const Duration held = this->loop.Now() - this->ticked_at - kTick;
  const Duration processor = ProcessorTime() - this->processor_at_tick;
  if (held > this->limit) {
    this->on_stall({held, processor});
  }
  this->Start();
}

}  // namespace parsleyquay
