#ifndef PARSLEYQUAY_BASE_UNIT_INTERVAL_H_
#define PARSLEYQUAY_BASE_UNIT_INTERVAL_H_

#include <cstdint>
#include <limits>

namespace parsleyquay {

// Maps a uniformly distributed 64-bit number to the interval [0, 1].
inline double ToUnitInterval(std::uint64_t random) {
  return static_cast<double>(random) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_UNIT_INTERVAL_H_
