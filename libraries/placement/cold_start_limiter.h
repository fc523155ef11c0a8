#ifndef PARSLEYQUAY_PLACEMENT_COLD_START_LIMITER_H_
#define PARSLEYQUAY_PLACEMENT_COLD_START_LIMITER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// Limits the requests that all instances together send to one cold server, that
// is, a server that has recently started. In any second they may send
// `requests_per_second * overshoot + slack` requests.
struct ColdStartLimit {
  double requests_per_second = 0;  // that the server can handle; 0: no limit
  double overshoot = 1;            // tolerated factor
  double slack = 0;                // additional requests

  bool operator==(const ColdStartLimit&) const = default;
};

// When this instance last sent a request to each cold server, by server name.
struct ColdStartLimiter {
  std::map<std::string, TimePoint> last_sent_at;

  bool operator==(const ColdStartLimiter&) const = default;
};

// Returns whether this instance may send a request to a cold server now. If the
// limit permits N requests per second, only N instances may use the server, and
// each sends at most one request per second. All instances select the same
// senders by rendezvous hashing, so the limit holds without any exchange about
// the requests they send. `instances` holds the names of all members, including
// this one.
bool MaySendToColdServer(const ColdStartLimiter& cold_start_limiter,
                         const ColdStartLimit& limit,
                         const std::string& instance,
                         const std::vector<std::string>& instances,
                         const std::string& server,
                         TimePoint now);

// Records that this instance has sent a request to a cold server.
void RecordColdServerRequest(ColdStartLimiter& cold_start_limiter,
                             const std::string& server,
                             TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_PLACEMENT_COLD_START_LIMITER_H_
