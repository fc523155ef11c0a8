#ifndef PARSLEYQUAY_EVENT_LOOP_STALL_DETECTOR_H_
#define PARSLEYQUAY_EVENT_LOOP_STALL_DETECTOR_H_

#include <functional>

#include "event/timer.h"

namespace parsleyquay {

// A period in which the event loop processed no event although a timer was due.
struct LoopStall {
  Duration duration = Duration(0);
  // The CPU time that this process used in that period. A high value means that
  // an action ran for too long, a low one that the machine was suspended or
  // overloaded.
  Duration cpu_time = Duration(0);

  bool operator==(const LoopStall&) const = default;
};

// Calls `on_stall` when a periodic timer fires more than `limit` too late.
class LoopStallDetector {
 public:
  LoopStallDetector(EventLoop& loop,
                    Duration limit,
                    std::function<void(const LoopStall&)> on_stall);

  void Start();

 private:
  void OnTick();

  EventLoop& loop;
  Duration limit;
  std::function<void(const LoopStall&)> on_stall;
  TimePoint last_tick_at;
  Duration cpu_time_at_tick = Duration(0);
  Timer timer;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_EVENT_LOOP_STALL_DETECTOR_H_
