#ifndef PARSLEYQUAY_DETECTION_EVIDENCE_H_
#define PARSLEYQUAY_DETECTION_EVIDENCE_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// Results of the requests that one instance sent to one backend server since
// its last report. Responses by which the server sheds load are not counted.
struct ServerEvidence {
  long answered = 0;  // responses that were complete and had no 5xx status
  // 5xx statuses, incomplete, stalled or mismatched responses, and failed
  // connections.
  long errors = 0;
  long on_time = 0;  // requests whose response head came without a slow mark
  // Slow marks. A request that waits for its response head gets a mark when
  // the wait exceeds the slow threshold, and another each time it doubles.
  long slow_marks = 0;
  long slow_requests = 0;          // requests with at least one slow mark
  Duration latency = Duration(0);  // smoothed; 0 if not measured
  bool has_restarted = false;

  bool operator==(const ServerEvidence&) const = default;
};

// One instance's evidence on the servers of a service, by server name.
using ServiceEvidence = std::map<std::string, ServerEvidence>;

enum class ServerMode {
  kActive,
  // Used by a few instances, each with one request at a time, because the
  // server is new, was restarted or returns from an ejection.
  kLimited,
  kEjected,
};

// Restricts how instances may use one server.
struct ServerVerdict {
  ServerMode mode = ServerMode::kActive;
  long max_instances = 0;  // number of instances that may use a limited server
  std::vector<std::string> permitted_instances;  // names of these instances

  bool operator==(const ServerVerdict&) const = default;
};

// Restricts how instances may use the servers of a service. A server without an
// entry is active.
struct ServiceVerdict {
  std::map<std::string, ServerVerdict> servers;
  Duration slow_threshold = Duration(0);  // 0 if no latency is known

  bool operator==(const ServiceVerdict&) const = default;
};

// The servers that a verdict restricts for one instance. It may not use the
// excluded ones, and sends the limited ones one request at a time.
struct ServerRestrictions {
  std::vector<std::string> excluded;
  std::vector<std::string> limited;

  bool operator==(const ServerRestrictions&) const = default;
};

// Returns the restrictions that the verdict places on the named instance.
ServerRestrictions RestrictionsFor(const std::string& instance,
                                   const ServiceVerdict& verdict);

// Returns the latency above which a request counts as slow, for a service whose
// typical latency is `usual`.
Duration SlowThreshold(Duration usual);

// Updates an exponentially weighted moving average with one more latency. A
// `smoothed` of 0 means that there is no average yet.
Duration SmoothLatency(Duration smoothed, Duration latency);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_EVIDENCE_H_
