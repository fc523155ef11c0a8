#include "event/loop_stall_detector.h"

#include <ctime>
#include <utility>

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(200);

Duration ProcessCpuTime() {
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
  this->last_tick_at = this->loop.Now();
  this->cpu_time_at_tick = ProcessCpuTime();
  this->timer.StartOnce(kTickInterval);
}

void LoopStallDetector::OnTick() {
  const Duration stall = this->loop.Now() - this->last_tick_at - kTickInterval;
  const Duration cpu_time = ProcessCpuTime() - this->cpu_time_at_tick;
  if (stall > this->limit) {
    this->on_stall({stall, cpu_time});
  }
  this->Start();
}

}  // namespace parsleyquay
