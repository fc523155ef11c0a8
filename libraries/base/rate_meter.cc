#include "base/rate_meter.h"

#include <cmath>

namespace parsleyquay {

namespace {

// Long enough for a few events at small rates, short enough for a burst.
constexpr double kMemorySeconds = 2;

}  // namespace

double RateAt(const RateMeter& meter, TimePoint now) {
  const double age = ToSeconds(now - meter.updated_at);
  return meter.per_second * std::exp(-age / kMemorySeconds);
}

void RecordEvents(RateMeter& meter, double events, TimePoint now) {
  meter.per_second = RateAt(meter, now) + events / kMemorySeconds;
  meter.updated_at = now;
}

}  // namespace parsleyquay
