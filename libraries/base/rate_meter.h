#ifndef PARSLEYQUAY_BASE_RATE_METER_H_
#define PARSLEYQUAY_BASE_RATE_METER_H_

#include "base/clock.h"

namespace parsleyquay {

// The rate of events, as an exponentially decaying average over the last few
// seconds.
struct RateMeter {
  double per_second = 0;  // at `updated_at`
  TimePoint updated_at;

  bool operator==(const RateMeter&) const = default;
};

// Adds `events` that happened at `now`.
void RecordEvents(RateMeter& meter, double events, TimePoint now);

// Returns the rate in events per second, decayed to `now`.
double RateAt(const RateMeter& meter, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_RATE_METER_H_
