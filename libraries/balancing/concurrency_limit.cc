#include "balancing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

namespace {

constexpr double kDecreaseFactor = 0.9;
constexpr double kDecreaseFactorAfterShed = 0.7;
constexpr double kSlowFactor = 3;
// The rest of the connections is kept free so that instances can reconnect.
constexpr double kUsableConnectionFraction = 0.8;

}  // namespace

ConcurrencyLimit MakeConcurrencyLimit(long slots,
                                      long connections,
                                      std::size_t instances_per_server) {
  const double connections_per_instance =
      kUsableConnectionFraction * static_cast<double>(connections) /
      static_cast<double>(std::max<std::size_t>(1, instances_per_server));
  const double maximum = std::max(1.0, std::floor(connections_per_instance));
  return {std::min(static_cast<double>(std::max(1L, slots)), maximum), maximum};
}

ConcurrencyLimit AdaptLimit(ConcurrencyLimit limit,
                            Duration latency,
                            Duration typical_latency) {
  const bool is_slow =
      typical_latency > Duration(0) &&
      static_cast<double>(latency.count()) >
          kSlowFactor * static_cast<double>(typical_latency.count());
  limit.limit = is_slow
                    ? std::max(1.0, limit.limit * kDecreaseFactor)
                    : std::min(limit.maximum, limit.limit + 1 / limit.limit);
  return limit;
}

ConcurrencyLimit AdaptLimitAfterShed(ConcurrencyLimit limit) {
  limit.limit = std::max(1.0, limit.limit * kDecreaseFactorAfterShed);
  return limit;
}

long RoundedDownLimit(const ConcurrencyLimit& limit) {
  return std::lround(std::floor(limit.limit));
}

}  // namespace parsleyquay
