#ifndef PARSLEYQUAY_EVENT_IO_WATCHER_H_
#define PARSLEYQUAY_EVENT_IO_WATCHER_H_

#include <functional>

#include "event/event_loop.h"

namespace parsleyquay {

// Calls an action when a file descriptor is ready for reading or writing. The
// action receives the EV_READ and EV_WRITE bits that apply.
class IoWatcher {
 public:
  IoWatcher(EventLoop& loop, std::function<void(int events)> action);
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;

  // Watches a descriptor for `events`, in place of any that was watched before.
  void Start(int descriptor, int events);
  void Stop();

 private:
  static void OnReady(struct ev_loop* loop, ev_io* watcher, int events);

  EventLoop& loop;
  std::function<void(int)> action;
  ev_io watcher;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_EVENT_IO_WATCHER_H_
