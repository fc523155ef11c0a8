#ifndef PARSLEYQUAY_PLACEMENT_COLD_START_LIMITER_H_
#define PARSLEYQUAY_PLACEMENT_COLD_START_LIMITER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// What all instances together may send to one cold server.
struct ColdStartLimit {
  double requests_per_second = 0;  // that the server bears; 0: no bound
  double overshoot = 1;            // factor that is tolerated
  double slack = 0;                // requests in any second, beyond

  bool operator==(const ColdStartLimit&) const = default;
};

// When this instance last sent to each cold server.
struct ColdStartLimiter {
  std::map<std::string, TimePoint> last_sent_at;

  bool operator==(const ColdStartLimiter&) const = default;
};

// Whether this instance may send to a cold server now. Only as many instances
// as the bound has requests in a second use the server, chosen by a hash that
// all compute alike, and each sends at most one request in a second. So the
// bound holds whatever the instances know of each other's requests.
// `instances` names all members, this one too.
bool MaySendToColdServer(const ColdStartLimiter& cold_start_limiter,
                         const ColdStartLimit& limit,
                         const std::string& instance,
                         const std::vector<std::string>& instances,
                         const std::string& server,
                         TimePoint now);

void RecordColdServerRequest(ColdStartLimiter& cold_start_limiter,
                             const std::string& server,
                             TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_PLACEMENT_COLD_START_LIMITER_H_
