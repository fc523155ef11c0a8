#ifndef PARSLEYQUAY_GATEWAY_LIST_AGE_LIMIT_H_
#define PARSLEYQUAY_GATEWAY_LIST_AGE_LIMIT_H_

#include <cstddef>

#include "base/clock.h"

namespace parsleyquay {

// The order in which the members of a failure domain read the list of servers
// themselves when they are not told that it is complete.
struct ListReadOrder {
  bool is_first = false;  // reads before the others, and forwards the list
  std::size_t rank = 0;   // among all members; spreads the others' reads

  bool operator==(const ListReadOrder&) const = default;
};

// How old the list of servers becomes before its first reader reads it. Longer
// than the interval between two reads of the aggregator (0.7 s) and short
// enough that a failed read (0.4 s) and its retry (0.15 s later) end within the
// two seconds in which a leaving server must get no more requests; see
// docs/design/silent-connections.md.
constexpr Duration kListAgeLimit = milliseconds(1'000);

// For the first reader to forward what it has read.
constexpr Duration kOtherReadersDelay = milliseconds(100);

// So that the members of a large failure domain do not read at the same moment.
constexpr Duration kOtherReadersSpread = milliseconds(100);

// The time from which on a read of the list counts as slow.
constexpr Duration kSlowListRead = milliseconds(400);

// Returns the age of its list at which an instance reads it from the store.
// After `slow_reads` slow reads in a row the limit is longer, since more reads
// would only make the store slower.
Duration ListAgeLimit(const ListReadOrder& order, int slow_reads = 0);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_LIST_AGE_LIMIT_H_
