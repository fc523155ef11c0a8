#include "gateway/list_age_limit.h"

#include <algorithm>

namespace parsleyquay {

Duration ListAgeLimit(const ListReadOrder& order, int slow_reads) {
  constexpr std::size_t kSteps = 20;
  constexpr int kMaxDoublings = 2;
  const int factor = 1 << std::min(slow_reads, kMaxDoublings);
  if (order.is_first) {
    return kListAgeLimit * factor;
  }
  const auto step = static_cast<long>(order.rank % kSteps);
  return (kListAgeLimit + kOtherReadersDelay +
          kOtherReadersSpread * step / static_cast<long>(kSteps)) *
         factor;
}

}  // namespace parsleyquay
