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

// One backend server as listed by the platform and restricted by operators.
struct RosterServer {
  std::string name;
  long slots = 1;  // requests that the server works on at a time
  bool is_out_of_service = false;  // leaving, or in a withdrawn failure domain
  bool is_new = false;  // listed after this instance first read the list

  bool operator==(const RosterServer&) const = default;
};

// State of one server, kept by the owner of its service.
struct ServerHealth {
  Duration latency = Duration(0);  // smoothed; 0 if not measured
  ServerMode mode = ServerMode::kActive;
  long max_instances = 0;  // number of instances that may use a limited server
  TimePoint mode_since;
  TimePoint last_step_at;          // last change of `mode` or `max_instances`
  long good_since_step = 0;        // successful requests without a slow mark
  Duration backoff = Duration(0);  // length of the last ejection; 0 if none
  std::optional<FaultFinding>
      last_ejection_cause;  // cause of the last ejection

  bool operator==(const ServerHealth&) const = default;
};

// State of a service's servers, kept by its owner for the whole fleet.
struct ServiceHealth {
  std::map<std::string, ServerHealth> servers;
  // Evidence on the servers in use; the slices since their last mode change.
  ServiceHistory histories;

  bool operator==(const ServiceHealth&) const = default;
};

// Builds the state of a new owner from the verdict of the previous one, so that
// present ejections and limits stay in force.
ServiceHealth MakeServiceHealth(const ServiceVerdict& verdict, TimePoint now);

// Adds the evidence of one instance's report. A restart of an active server
// makes it limited.
ServiceHealth ApplyEvidence(ServiceHealth health,
                            const ServiceEvidence& evidence,
                            TimePoint now);

// Updates the modes of all servers: ejects faulty ones, limits those whose
// backoff is over, lets more instances use limited ones and makes them active
// again. An active server is ejected only if at least `min_healthy_percent` of
// the roster stays healthy, that is active and not out of service. No server is
// ejected for a fault that all servers show alike.
ServiceHealth UpdateServerModes(ServiceHealth health,
                                const std::vector<RosterServer>& roster,
                                double min_healthy_percent,
                                TimePoint now);

// Returns the slow threshold and the restrictions on servers that are not
// active, without the names of permitted instances.
ServiceVerdict MakeVerdict(const ServiceHealth& health);

// Removes ejections from a verdict until `min_healthy_percent` of the roster is
// healthy. Used by each instance when it applies a verdict, because its own
// roster may have more servers out of service than that of the service's owner.
ServiceVerdict EnforceHealthyFloor(ServiceVerdict verdict,
                                   const std::vector<RosterServer>& roster,
                                   double min_healthy_percent);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_SERVICE_HEALTH_H_
