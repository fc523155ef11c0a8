#include "placement/cold_start_limiter.h"

#include <algorithm>

#include "balancing/server_subset.h"

namespace parsleyquay {

namespace {

// A little over a second: requests may arrive closer than they were sent.
constexpr Duration kColdInterval = milliseconds(1'150);

// Members that one instance does not know of yet shift the choice a little.
constexpr double kMembershipMargin = 0.85;

std::size_t SenderCount(const ColdStartLimit& limit) {
  const double tolerated =
      limit.requests_per_second * limit.overshoot + limit.slack;
  return static_cast<std::size_t>(std::max(1., tolerated * kMembershipMargin));
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
                           now - found->second < kColdInterval;
  return !is_too_soon &&
         IsAmongTopRanked(instance, server, instances, SenderCount(limit));
}

void RecordColdServerRequest(ColdStartLimiter& cold_start_limiter,
                             const std::string& server,
                             TimePoint now) {
  cold_start_limiter.last_sent_at[server] = now;
}

}  // namespace parsleyquay
