#ifndef PARSLEYQUAY_EVENT_SIGNAL_WATCHER_H_
#define PARSLEYQUAY_EVENT_SIGNAL_WATCHER_H_

#include <functional>

#include "event/event_loop.h"

namespace parsleyquay {

// Calls an action on the loop when the process receives a signal.
class SignalWatcher {
 public:
  SignalWatcher(EventLoop& loop, int signal, std::function<void()> action);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  static void OnSignal(struct ev_loop* loop, ev_signal* watcher, int events);

  EventLoop& loop;
  std::function<void()> action;
  ev_signal watcher;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_EVENT_SIGNAL_WATCHER_H_
