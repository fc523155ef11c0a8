#ifndef PARSLEYQUAY_BASE_SLIDING_WINDOW_H_
#define PARSLEYQUAY_BASE_SLIDING_WINDOW_H_

#include <cstddef>
#include <deque>

#include "base/clock.h"

namespace parsleyquay {

// The times of what was used, newest last.
struct SlidingWindow {
  std::deque<TimePoint> acquired_at;

  bool operator==(const SlidingWindow&) const = default;
};

// Whether another use keeps within `most` uses in any `window`.
bool HasWindowCapacity(const SlidingWindow& used,
                       long most,
                       Duration window,
                       TimePoint now);

// Uses one if there is room; returns whether there was.
bool TryAcquireFromWindow(SlidingWindow& used,
                          long most,
                          Duration window,
                          TimePoint now);

// The part of `total` that one of `count` gets, by its rank from 0, in whole
// numbers that add up to the total rounded down.
long IntegerShare(double total, std::size_t rank, std::size_t count);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_SLIDING_WINDOW_H_
