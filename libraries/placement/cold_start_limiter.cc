#include "placement/cold_start_limiter.h"

#include <algorithm>

#include "balancing/server_subset.h"

namespace parsleyquay {

namespace {

// Slightly more than the one second of the limit: network jitter may bring
// requests closer together than they were sent.
constexpr Duration kMinSendInterval = milliseconds(1'150);

// Fraction of the limit that is used. Instances whose member lists differ
// select slightly different senders.
constexpr double kUsedLimitFraction = 0.85;

std::size_t SenderCount(const ColdStartLimit& limit) {
  const double max_requests =
      limit.requests_per_second * limit.overshoot + limit.slack;
  return static_cast<std::size_t>(
      std::max(1., max_requests * kUsedLimitFraction));
}

}  // namespace

bool MaySendToColdServer(const ColdStartLimiter& cold_start_limiter,
                         const ColdStartLimit& limit,
                         const std::string& instance,
                         const std::vector<std::string>& instances,
                         const std::string& server,
                         TimePoint now) {
  if (limit.requests_per_second <= 0) {
    return true;
  }
  const auto found = cold_start_limiter.last_sent_at.find(server);
  const bool is_too_soon = found != cold_start_limiter.last_sent_at.end() &&
                           now - found->second < kMinSendInterval;
  return !is_too_soon &&
         IsAmongTopRanked(instance, server, instances, SenderCount(limit));
}

void RecordColdServerRequest(ColdStartLimiter& cold_start_limiter,
                             const std::string& server,
                             TimePoint now) {
  cold_start_limiter.last_sent_at[server] = now;
}

}  // namespace parsleyquay
