#ifndef PARSLEYQUAY_TESTS_SUPPORT_AWAIT_H_
#define PARSLEYQUAY_TESTS_SUPPORT_AWAIT_H_

#include <functional>

#include "event/event_loop.h"
#include "event/timer.h"

namespace parsleyquay {

// Serves the loop until the condition holds or the time is up; returns whether
// it holds.
inline bool RunLoopUntil(EventLoop& loop,
                         const std::function<bool()>& condition,
                         Duration patience) {
  // Looks again now and then, for conditions outside this process.
  constexpr Duration kTurn = milliseconds(20);
  bool is_over = false;
  Timer limit(loop, [&] { is_over = true; });
  Timer wake(loop, [] {});
  limit.StartOnce(patience);
  wake.StartRepeating(kTurn);
  while (!condition() && !is_over) {
    loop.RunOnce();
  }
  return condition();
}

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_AWAIT_H_
