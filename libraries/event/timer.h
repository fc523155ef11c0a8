#ifndef PARSLEYQUAY_EVENT_TIMER_H_
#define PARSLEYQUAY_EVENT_TIMER_H_

#include <functional>

#include "event/event_loop.h"

namespace parsleyquay {

// Calls an action after a delay, once or repeatedly. Starting a running timer
// restarts it.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> action);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void StartOnce(Duration delay);
  void StartRepeating(Duration interval);
  void Stop();

 private:
  static void OnTimeout(struct ev_loop* loop, ev_timer* watcher, int events);

  EventLoop& loop;
  std::function<void()> action;
  ev_timer watcher;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_EVENT_TIMER_H_
