#ifndef PARSLEYQUAY_BASE_RATE_METER_H_
#define PARSLEYQUAY_BASE_RATE_METER_H_

#include "base/clock.h"

namespace parsleyquay {

// How often something happens, averaged over the last few seconds with
// exponentially falling weight.
struct RateMeter {
  double per_second = 0;
  TimePoint updated_at;

  bool operator==(const RateMeter&) const = default;
};

void RecordEvents(RateMeter& meter, double events, TimePoint now);

double RateAt(const RateMeter& meter, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_RATE_METER_H_
