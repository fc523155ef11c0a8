#ifndef PARSLEYQUAY_EVENT_EVENT_LOOP_H_
#define PARSLEYQUAY_EVENT_EVENT_LOOP_H_

#include <ev.h>

#include "base/clock.h"

namespace parsleyquay {

// The libev event loop of a process, and its clock.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Processes events until Stop() is called.
  void Run();
  void Stop();

  // Processes the pending events. If there are none, waits for the next one.
  void RunOnce();

  Clock& clock() { return this->runtime_clock; }
  TimePoint Now() const { return this->runtime_clock.Now(); }
  struct ev_loop* handle() const {
    return this->loop;
  }

 private:
  struct ev_loop* loop;
  Clock runtime_clock;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_EVENT_EVENT_LOOP_H_
