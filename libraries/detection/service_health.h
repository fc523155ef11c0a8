#ifndef PARSLEYQUAY_DETECTION_SERVICE_HEALTH_H_
#define PARSLEYQUAY_DETECTION_SERVICE_HEALTH_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "detection/evidence.h"
#include "detection/evidence_history.h"
#include "detection/fault_detection.h"

namespace parsleyquay {

// One backend server as the platform and the operators see it.
struct RosterServer {
  std::string name;
  long slots = 1;
  bool is_out_of_service = false;  // leaving, or in a withdrawn failure domain
  bool is_new = false;  // listed after this instance first read the list

  bool operator==(const RosterServer&) const = default;
};

// What the home of a service knows of one server.
struct ServerHealth {
  Duration latency = Duration(0);
  ServerMode mode = ServerMode::kActive;
  long max_instances = 0;
  TimePoint mode_since;
  TimePoint last_step_at;
  long good_since_step = 0;
  Duration backoff = Duration(0);
  std::optional<FaultFinding> last_ejection_cause;  // the last time

  bool operator==(const ServerHealth&) const = default;
};

// What the home of a service decides for the whole fleet.
struct ServiceHealth {
  std::map<std::string, ServerHealth> servers;
  ServiceHistory histories;  // of servers in use, since their mode was entered

  bool operator==(const ServiceHealth&) const = default;
};

// Starts from a verdict that is already in force, so that a new home ejects
// nobody anew and forgets nobody.
ServiceHealth MakeServiceHealth(const ServiceVerdict& verdict, TimePoint now);

// Takes in a report of one instance.
ServiceHealth ApplyEvidence(ServiceHealth health,
                            const ServiceEvidence& evidence,
                            TimePoint now);

// Ejects, tries and returns servers. `floor_percent` of the roster stays
// healthy: neither ejected nor limited nor out. A service whose servers are
// all alike ejects none.
ServiceHealth UpdateServerModes(ServiceHealth health,
                                const std::vector<RosterServer>& roster,
                                double floor_percent,
                                TimePoint now);

ServiceVerdict MakeVerdict(const ServiceHealth& health);

// Takes ejections out of a verdict until the floor holds, for an instance that
// applies a verdict to its own view of what is out.
ServiceVerdict EnforceHealthyFloor(ServiceVerdict verdict,
                                   const std::vector<RosterServer>& roster,
                                   double floor_percent);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_SERVICE_HEALTH_H_
