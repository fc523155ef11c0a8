#ifndef PARSLEYQUAY_BASE_SLIDING_WINDOW_H_
#define PARSLEYQUAY_BASE_SLIDING_WINDOW_H_

#include <cstddef>
#include <deque>

#include "base/clock.h"

namespace parsleyquay {

// The record of a sliding-window rate limiter: the time of each permitted
// event, oldest first.
struct SlidingWindow {
  std::deque<TimePoint> acquired_at;

  bool operator==(const SlidingWindow&) const = default;
};

// Returns whether one more event at `now` stays within `limit` events in any
// period of the length `window`.
bool HasWindowCapacity(const SlidingWindow& used,
                       long limit,
                       Duration window,
                       TimePoint now);

// Records an event at `now` if HasWindowCapacity() permits it, and returns
// whether it did.
bool TryAcquireFromWindow(SlidingWindow& used,
                          long limit,
                          Duration window,
                          TimePoint now);

// Divides `total` among `count` recipients in whole numbers. Returns the part
// of the recipient with the given rank, from 0 on. The parts add up to `total`
// rounded down.
long IntegerShare(double total, std::size_t rank, std::size_t count);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_SLIDING_WINDOW_H_
