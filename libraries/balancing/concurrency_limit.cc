#include "balancing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

namespace {

constexpr double kDecrease = 0.9;
constexpr double kDecreaseAfterShed = 0.7;
constexpr double kSlowFactor = 3;
constexpr double kConnectionShare = 0.8;  // the rest is for reconnecting

}  // namespace

ConcurrencyLimit MakeConcurrencyLimit(long slots,
                                      long connections,
                                      std::size_t instances_per_server) {
  const double ceiling =
      kConnectionShare * static_cast<double>(connections) /
      static_cast<double>(std::max<std::size_t>(1, instances_per_server));
  const double maximum = std::max(1.0, std::floor(ceiling));
  return {std::min(static_cast<double>(std::max(1L, slots)), maximum), maximum};
}

ConcurrencyLimit AdaptLimit(ConcurrencyLimit limit,
                            Duration latency,
                            Duration usual) {
  const bool is_slow = usual > Duration(0) &&
                       static_cast<double>(latency.count()) >
                           kSlowFactor * static_cast<double>(usual.count());
  limit.limit = is_slow
                    ? std::max(1.0, limit.limit * kDecrease)
                    : std::min(limit.maximum, limit.limit + 1 / limit.limit);
  return limit;
}

ConcurrencyLimit AdaptLimitAfterShed(ConcurrencyLimit limit) {
  limit.limit = std::max(1.0, limit.limit * kDecreaseAfterShed);
  return limit;
}

long RoundedDownLimit(const ConcurrencyLimit& limit) {
  return std::lround(std::floor(limit.limit));
}

}  // namespace parsleyquay
