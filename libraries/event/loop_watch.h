#ifndef PARSLEYQUAY_EVENT_LOOP_WATCH_H_
#define PARSLEYQUAY_EVENT_LOOP_WATCH_H_

#include <functional>

#include "event/timer.h"

namespace parsleyquay {

// A period in which the event loop processed no event although a timer was due.
struct LoopHold {
  Duration held = Duration(0);
  // The CPU time that this process used in that period. A high value means that
  // an action ran for too long, a low one that the machine was suspended or
  // overloaded.
  Duration processor = Duration(0);

  bool operator==(const LoopHold&) const = default;
};

// Reports when the event loop processed no events for longer than `limit`.
class LoopWatch {
 public:
  LoopWatch(EventLoop& loop,
            Duration limit,
            std::function<void(const LoopHold&)> on_hold);

  void Start();

 private:
  void OnTick();

  EventLoop& loop;
  Duration limit;
  std::function<void(const LoopHold&)> on_hold;
  TimePoint last_tick_at;
  Duration cpu_time_at_tick = Duration(0);
  Timer timer;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_EVENT_LOOP_WATCH_H_
