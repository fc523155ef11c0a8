#include "base/sliding_window.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

bool HasRoom(const SlidingWindow& used,
             long limit,
             Duration window,
             TimePoint now) {
  const auto recent_events = std::ranges::count_if(
      used.used_at, [&](TimePoint at) { return now - at <= window; });
  return recent_events < limit;
}

bool TakeFromWindow(SlidingWindow& used,
                    long limit,
                    Duration window,
                    TimePoint now) {
  while (!used.used_at.empty() && now - used.used_at.front() > window) {
    used.used_at.pop_front();
  }
  if (!HasRoom(used, limit, window, now)) {
    return false;
  }
  used.used_at.push_back(now);
  return true;
}

long WholeShare(double total, std::size_t rank, std::size_t count) {
  const auto parts = static_cast<double>(std::max<std::size_t>(1, count));
  const auto place = static_cast<double>(rank);
  return static_cast<long>(std::floor(total * (place + 1) / parts) -
                           std::floor(total * place / parts));
}

}  // namespace parsleyquay
