#ifndef PARSLEYQUAY_TESTS_SUPPORT_AWAIT_H_
#define PARSLEYQUAY_TESTS_SUPPORT_AWAIT_H_

#include <functional>

#include "event/event_loop.h"
#include "event/timer.h"

namespace parsleyquay {

// Runs the event loop until the condition holds or the timeout expires. Returns
// whether the condition holds.
inline bool RunLoopUntil(EventLoop& loop,
                         const std::function<bool()>& condition,
                         Duration timeout) {
  // Checks the condition regularly, because events outside this process do not
  // wake the loop.
  constexpr Duration kCheckInterval = milliseconds(20);
  bool has_timed_out = false;
  Timer limit(loop, [&] { has_timed_out = true; });
  Timer wake(loop, [] {});
  limit.StartOnce(timeout);
  wake.StartRepeating(kCheckInterval);
  while (!condition() && !has_timed_out) {
    loop.RunOnce();
  }
  return condition();
}

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_AWAIT_H_
