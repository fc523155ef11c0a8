#include "gateway/list_age_limit.h"

namespace parsleyquay {

Duration ListAgeLimit(const ListReadOrder& order) {
  constexpr std::size_t kSteps = 20;
  if (order.is_first) {
    return kListAgeLimit;
  }
  const auto step = static_cast<long>(order.rank % kSteps);
  return kListAgeLimit + kOtherReadersDelay +
         kOtherReadersSpread * step / static_cast<long>(kSteps);
}

}  // namespace parsleyquay
