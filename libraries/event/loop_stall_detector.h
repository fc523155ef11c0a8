#ifndef PARSLEYQUAY_EVENT_LOOP_STALL_DETECTOR_H_
#define PARSLEYQUAY_EVENT_LOOP_STALL_DETECTOR_H_

#include <functional>

#include "event/timer.h"

namespace parsleyquay {

// A time in which the loop served no event although one was due.
struct LoopStall {
  Duration duration = Duration(0);
  // What this process has computed meanwhile. Much of it means that an action
  // ran for so long; little, that the machine was suspended or overloaded.
  Duration cpu_time = Duration(0);

  bool operator==(const LoopStall&) const = default;
};

// Reports when the loop was held for longer than a limit.
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
  TimePoint ticked_at;
  Duration processor_at_tick = Duration(0);
  Timer timer;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_EVENT_LOOP_STALL_DETECTOR_H_
