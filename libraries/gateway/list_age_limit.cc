#include "gateway/list_age_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleyquay {

namespace {

// A read and the digest that forwards it take less than this. Until
// `kSteppedRanks` the number of readers doubles with each step.
constexpr Duration kStep = milliseconds(12);
constexpr double kSteppedRanks = 16;

// The ranks above are spread evenly over this time, in a fixed random order.
constexpr Duration kSpread = milliseconds(78);
constexpr double kSpreadStep = 0.618034;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

Duration RankDelay(const ListReadOrder& order) {
  if (order.has_read_for_others) {
    return kNextReaderDelay;
  }
  const double rank = std::max(1.0, static_cast<double>(order.rank));
  if (rank <= kSteppedRanks) {
    return kOtherReadersDelay + Scale(kStep, std::log2(rank));
  }
  const double turns = kSpreadStep * rank;
  return kOtherReadersDelay + Scale(kStep, std::log2(kSteppedRanks)) +
         Scale(kSpread, turns - std::floor(turns));
}

}  // namespace

ListReadOrder AfterReadForOthers(ListReadOrder order,
                                 std::optional<TimePoint> read_for_others_at,
                                 TimePoint now) {
  order.has_read_for_others =
      read_for_others_at && now - *read_for_others_at < kReadForOthersMemory;
  return order;
}

Duration ListAgeLimit(const ListReadOrder& order, int slow_reads) {
  constexpr int kMaxDoublings = 2;
  const int factor = 1 << std::min(slow_reads, kMaxDoublings);
  const Duration delay = order.is_first ? Duration(0) : RankDelay(order);
  return (kListAgeLimit + delay) * factor;
}

Duration TimeToAgeRead(const AgeReads& reads, Duration age, TimePoint now) {
  const ListReadOrder order =
      AfterReadForOthers(reads.order, reads.read_for_others_at, now);
  return std::max(Duration(0), ListAgeLimit(order, reads.slow_reads) - age);
}

bool EndAgeRead(AgeReads& reads, TimePoint now) {
  const bool was_reading = std::exchange(reads.is_reading, false);
  if (was_reading) {
    reads.read_for_others_at = now;
  }
  return was_reading;
}

}  // namespace parsleyquay
