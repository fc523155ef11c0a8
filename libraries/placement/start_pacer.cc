#include "placement/start_pacer.h"

#include <algorithm>

#include "balancing/server_subset.h"

namespace parsleyquay {

namespace {

// A little over a second: requests may arrive closer than they were sent.
constexpr Duration kColdInterval = milliseconds(1'150);

// Members that one instance does not know of yet shift the choice a little.
constexpr double kMembershipMargin = 0.85;

std::size_t SenderCount(const ColdBound& bound) {
  const double tolerated =
      bound.requests_per_second * bound.overshoot + bound.slack;
  return static_cast<std::size_t>(std::max(1., tolerated * kMembershipMargin));
}

}  // namespace

bool MaySendToCold(const StartPacer& pacer,
                   const ColdBound& bound,
                   const std::string& instance,
                   const std::vector<std::string>& instances,
                   const std::string& server,
                   TimePoint now) {
  if (bound.requests_per_second <= 0) {
    return true;
  }
  const auto found = pacer.sent_at.find(server);
  const bool is_too_soon =
      found != pacer.sent_at.end() && now - found->second < kColdInterval;
  return !is_too_soon &&
         IsAmongFirst(instance, server, instances, SenderCount(bound));
}

void NoteSentToCold(StartPacer& pacer,
                    const std::string& server,
                    TimePoint now) {
  pacer.sent_at[server] = now;
}

}  // namespace parsleyquay
