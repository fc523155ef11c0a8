#include "event/loop_watch.h"

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

LoopWatch::LoopWatch(EventLoop& loop,
                     Duration limit,
                     std::function<void(const LoopHold&)> on_hold)
    : loop(loop),
      limit(limit),
      on_hold(std::move(on_hold)),
      timer(loop, [this] { this->OnTick(); }) {}

void LoopWatch::Start() {
  this->last_tick_at = this->loop.Now();
  this->cpu_time_at_tick = ProcessCpuTime();
  this->timer.StartOnce(kTickInterval);
}

void LoopWatch::OnTick() {
  const Duration held = this->loop.Now() - this->last_tick_at - kTickInterval;
  const Duration processor = ProcessCpuTime() - this->cpu_time_at_tick;
  if (held > this->limit) {
    this->on_hold({held, processor});
  }
  this->Start();
}

}  // namespace parsleyquay
