#include "base/sliding_window.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

bool HasWindowCapacity(const SlidingWindow& used,
                       long most,
                       Duration window,
                       TimePoint now) {
  const auto recent = std::ranges::count_if(
      used.acquired_at, [&](TimePoint at) { return now - at <= window; });
  return recent < most;
}

bool TryAcquireFromWindow(SlidingWindow& used,
                          long most,
                          Duration window,
                          TimePoint now) {
  while (!used.acquired_at.empty() && now - used.acquired_at.front() > window) {
    used.acquired_at.pop_front();
  }
  if (!HasWindowCapacity(used, most, window, now)) {
    return false;
  }
  used.acquired_at.push_back(now);
  return true;
}

long IntegerShare(double total, std::size_t rank, std::size_t count) {
  const auto parts = static_cast<double>(std::max<std::size_t>(1, count));
  const auto place = static_cast<double>(rank);
  return static_cast<long>(std::floor(total * (place + 1) / parts) -
                           std::floor(total * place / parts));
}

}  // namespace parsleyquay
