#include "rollout/exposure_account.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

namespace {

// Multiples of the golden ratio, modulo 1, are spread evenly for any number of
// them (Weyl sequence).
constexpr double kGoldenRatio = 0.6180339887498949;

}  // namespace

ExposureAccount OpenExposureAccount(std::uint64_t rank,
                                    long instances,
                                    bool is_late) {
  if (is_late) {
    return {};
  }
  const double position = static_cast<double>(rank) * kGoldenRatio;
  return {.slack_part = 1 / static_cast<double>(std::max(1L, instances)),
          .rounding = position - std::floor(position)};
}

bool MayExpose(const ExposureAccount& account,
               const ExposureBound& bound,
               double part) {
  const double credit =
      part * (bound.slack * account.slack_part +
              bound.share * static_cast<double>(account.requests)) +
      account.rounding;
  return static_cast<double>(account.exposed + 1) <= credit;
}

}  // namespace parsleyquay
