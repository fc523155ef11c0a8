#include "event/loop_watch.h"

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

LoopWatch::LoopWatch(EventLoop& loop,
                     Duration limit,
                     std::function<void(const LoopHold&)> on_hold)
    : loop(loop),
      limit(limit),
      on_hold(std::move(on_hold)),
      timer(loop, [this] { this->OnTick(); }) {}

void LoopWatch::Start() {
  this->ticked_at = this->loop.Now();
  this->processor_at_tick = ProcessorTime();
  this->timer.StartOnce(kTick);
}

void LoopWatch::OnTick() {
  const Duration held = this->loop.Now() - this->ticked_at - kTick;
  const Duration processor = ProcessorTime() - this->processor_at_tick;
  if (held > this->limit) {
    this->on_hold({held, processor});
  }
  this->Start();
}

}  // namespace parsleyquay
