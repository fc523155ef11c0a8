#include "placement/start_pacer.h"

#include <algorithm>

#include "balancing/server_subset.h"

namespace parsleyquay {

namespace {

// Slightly more than the one second of the limit: network jitter may bring
// requests closer together than they were sent.
constexpr Duration kMinSendInterval = milliseconds(1'150);

// Fraction of the limit that is used. Instances whose member lists differ
// select slightly different senders.
constexpr double kMembershipMargin = 0.85;

std::size_t SenderCount(const ColdBound& bound) {
  const double max_requests =
      bound.requests_per_second * bound.overshoot + bound.slack;
  return static_cast<std::size_t>(
      std::max(1., max_requests * kMembershipMargin));
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
      found != pacer.sent_at.end() && now - found->second < kMinSendInterval;
  return !is_too_soon &&
         IsAmongFirst(instance, server, instances, SenderCount(bound));
}

void NoteSentToCold(StartPacer& pacer,
                    const std::string& server,
                    TimePoint now) {
  pacer.sent_at[server] = now;
}

}  // namespace parsleyquay
