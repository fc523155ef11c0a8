#include "base/rate_meter.h"

#include <cmath>

namespace parsleyquay {

namespace {

// The time constant of the exponential decay: long enough for a steady reading
// at low rates, short enough to follow a burst.
constexpr double kTimeConstantSeconds = 2;

}  // namespace

double RateAt(const RateMeter& meter, TimePoint now) {
  const double age = ToSeconds(now - meter.updated_at);
  return meter.per_second * std::exp(-age / kTimeConstantSeconds);
}

void RecordEvents(RateMeter& meter, double events, TimePoint now) {
  meter.per_second = RateAt(meter, now) + events / kTimeConstantSeconds;
  meter.updated_at = now;
}

}  // namespace parsleyquay
