#ifndef PARSLEYQUAY_COORDINATION_FEED_POSITION_H_
#define PARSLEYQUAY_COORDINATION_FEED_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace parsleyquay {

// A position in a change feed. The store issues offsets again after it has
// returned with older data, so they are only comparable within one era of the
// store: a position of a later era is greater than any of an earlier one.
struct FeedPosition {
  std::uint64_t era = 0;  // 0 for stores that state none
  std::uint64_t offset = 0;

  auto operator<=>(const FeedPosition&) const = default;
};

// Returns the position for the log: the offset, preceded by the era unless that
// is 0.
inline std::string ToText(const FeedPosition& position) {
  const std::string offset = std::to_string(position.offset);
  return position.era == 0 ? offset
                           : std::to_string(position.era) + ":" + offset;
}

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_FEED_POSITION_H_
