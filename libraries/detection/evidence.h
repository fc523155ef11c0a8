#ifndef PARSLEYQUAY_DETECTION_EVIDENCE_H_
#define PARSLEYQUAY_DETECTION_EVIDENCE_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// What requests to one backend server showed since the last report.
struct ServerEvidence {
  long answered = 0;       // finished without an error
  long errors = 0;         // failed, cut short, crossed or never connected
  long on_time = 0;        // finished in the usual time
  long slow_marks = 0;     // marks: one each time the wait doubles past usual
  long slow_requests = 0;  // requests with a mark
  Duration latency = Duration(0);  // smoothed over recent requests
  bool has_restarted = false;

  bool operator==(const ServerEvidence&) const = default;
};

// What one instance gathered on a service's servers.
using ServiceEvidence = std::map<std::string, ServerEvidence>;

enum class ServerMode {
  kActive,
  kLimited,  // few instances, one request each: cold or on trial
  kEjected,
};

// How instances are to treat one server.
struct ServerVerdict {
  ServerMode mode = ServerMode::kActive;
  long max_instances = 0;  // how many instances may use it while limited
  std::vector<std::string> permitted_instances;  // and which

  bool operator==(const ServerVerdict&) const = default;
};

// How instances are to treat the servers of a service; a server that is not
// named is active.
struct ServiceVerdict {
  std::map<std::string, ServerVerdict> servers;
  Duration slow_threshold = Duration(0);  // 0 while latencies are unknown

  bool operator==(const ServiceVerdict&) const = default;
};

// The servers of a verdict that an instance may not use as any other: those it
// has to leave alone, and those it may use one request at a time.
struct ServerRestrictions {
  std::vector<std::string> excluded;
  std::vector<std::string> limited;

  bool operator==(const ServerRestrictions&) const = default;
};

ServerRestrictions RestrictionsFor(const std::string& instance,
                                   const ServiceVerdict& verdict);

// The latency beyond which a request counts as slow where `usual` is usual.
Duration SlowThreshold(Duration usual);

// The smoothed latency after one more request.
Duration SmoothLatency(Duration smoothed, Duration latency);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_EVIDENCE_H_
