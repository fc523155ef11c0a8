#ifndef PARSLEYQUAY_GATEWAY_LIST_AGE_LIMIT_H_
#define PARSLEYQUAY_GATEWAY_LIST_AGE_LIMIT_H_

#include <cstddef>
#include <optional>

#include "base/clock.h"

namespace parsleyquay {

// The order in which the members of a failure domain read the list of servers,
// or the operators' feed, themselves when they are not told that they know all
// of it.
struct ListReadOrder {
  bool is_first = false;  // reads before the others, and forwards what it read
  std::size_t rank = 0;   // among the candidates for aggregator
  // Whether this instance has lately read for the others, which those before it
  // had failed to do.
  bool has_read_for_others = false;

  bool operator==(const ListReadOrder&) const = default;
};

// How old the list of servers becomes before its first reader reads it. Longer
// than the interval between two reads of the aggregator (0.7 s) and short
// enough that a failed read (0.4 s) and its retry (0.15 s later) end within the
// two seconds in which a leaving server must get no more requests; see
// docs/design/silent-connections.md.
constexpr Duration kListAgeLimit = milliseconds(1'000);

// For the first reader to forward what it has read. An instance that has read
// for the others before waits less, so that it goes on doing so alone.
constexpr Duration kOtherReadersDelay = milliseconds(100);
constexpr Duration kNextReaderDelay = milliseconds(40);

// An instance counts as one that reads for the others until this long after its
// last such read.
constexpr Duration kReadForOthersMemory = seconds(3);

// Returns the order of an instance that last read for the others at this time.
ListReadOrder AfterReadForOthers(ListReadOrder order,
                                 std::optional<TimePoint> read_for_others_at,
                                 TimePoint now);

// The time from which on a read of the list counts as slow.
constexpr Duration kSlowListRead = milliseconds(400);

// Returns the age at which an instance reads the list, or the feed, from the
// store. After `slow_reads` slow reads in a row the limit is longer, since more
// reads would only make the store slower.
//
// The delays of the other readers double the number of those that have read
// with each step, so that a few reads suffice to find one that the store
// serves, in a failure domain of any size; the first one that succeeds tells
// the rest.
Duration ListAgeLimit(const ListReadOrder& order, int slow_reads = 0);

// The reads of one feed that an instance makes since nobody has told it of the
// feed for too long.
struct AgeReads {
  ListReadOrder order;
  bool is_reading = false;  // from the time a read is due until it succeeds
  // When the newest one succeeded, unless another instance reads for the others
  // in preference to this one.
  std::optional<TimePoint> read_for_others_at;
  int slow_reads = 0;  // in a row, see ListAgeLimit()

  bool operator==(const AgeReads&) const = default;
};

// Returns the time until the next such read of a feed that was last known to be
// complete `age` ago; 0 if it is due.
Duration TimeToAgeRead(const AgeReads& reads, Duration age, TimePoint now);

// Records that a read has succeeded. Returns whether it was such a read.
bool EndAgeRead(AgeReads& reads, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_LIST_AGE_LIMIT_H_
