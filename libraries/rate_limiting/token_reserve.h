#ifndef PARSLEYQUAY_RATE_LIMITING_TOKEN_RESERVE_H_
#define PARSLEYQUAY_RATE_LIMITING_TOKEN_RESERVE_H_

#include <map>

#include "base/rate_meter.h"
#include "routing/fleet_configuration.h"

namespace parsleyquay {

// The requests for tokens of one workspace in the last few seconds, whether or
// not they were granted.
struct TokenDemand {
  std::map<int, RateMeter> requests_by_priority;  // 0 is the highest priority

  bool operator==(const TokenDemand&) const = default;
};

void RecordTokenRequest(TokenDemand& demand, int priority, TimePoint now);

// Returns how many tokens a request of the given priority has to leave in the
// workspace's bucket for requests of higher priority. This is their demand in
// one second, but no more than half of the burst for the lowest priority, and
// in equal steps less for each higher one. Only a workspace that sends requests
// of the highest priority, 0, has a reserve. It is 0 while the rate limit
// covers the whole demand, and once no request of higher priority has arrived
// for a few seconds, so that no token stays unused.
double TokenReserve(const TokenDemand& demand,
                    const WorkspaceConfiguration& configuration,
                    int priority,
                    TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RATE_LIMITING_TOKEN_RESERVE_H_
