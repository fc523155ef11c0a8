#include "base/sliding_window.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

constexpr Duration kWindow = seconds(5);

TEST_CASE("no window holds more uses than allowed") {
  SlidingWindow used;
  const TimePoint start = TimePoint(seconds(100));
  std::deque<TimePoint> taken;
  for (int step = 0; step < 400; ++step) {
    const TimePoint now = start + milliseconds(70 * step);
    if (TryAcquireFromWindow(used, 3, kWindow, now)) {
      taken.push_back(now);
    }
  }
  for (const TimePoint first : taken) {
    const auto within = std::count_if(
        taken.begin(), taken.end(),
        [&](TimePoint at) { return at >= first && at - first <= kWindow; });
    CHECK(within <= 3);
  }
  CHECK(taken.size() >= 12);
}

TEST_CASE("whole shares add up to the total") {
  for (const double total : {0., 0.7, 1., 5.5, 36., 40.3, 1'000.}) {
    for (const std::size_t count : {1, 2, 36, 850}) {
      long sum = 0;
      for (std::size_t rank = 0; rank < count; ++rank) {
        sum += IntegerShare(total, rank, count);
      }
      CHECK(sum == static_cast<long>(total));
    }
  }
}

}  // namespace
}  // namespace parsleyquay
