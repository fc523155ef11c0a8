#ifndef PARSLEYQUAY_DETECTION_FAULT_DETECTION_H_
#define PARSLEYQUAY_DETECTION_FAULT_DETECTION_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "detection/evidence_history.h"

namespace parsleyquay {

enum class FaultKind { kErrors, kSlowness };

// Why one server is held to be at fault and not its service.
struct FaultFinding {
  FaultKind kind = FaultKind::kErrors;
  Duration window = Duration(0);  // over which the requests were counted
  FaultCount own;
  double others_rate = 0;  // of bad requests at the service's other servers
  double score = 0;        // logarithm of the likelihood ratio

  bool operator==(const FaultFinding&) const = default;
};

std::string ToString(FaultKind kind);

// The evidence on each server of one service, by its name.
using ServiceHistory = std::map<std::string, EvidenceHistory>;

// The servers that are at fault. Each is compared with what the service's other
// servers showed during the same time, over several lengths of time: a scan
// statistic (Glaz, Naus and Wallenstein, 2001, "Scan Statistics") of the
// binomial likelihood ratio. A fault that the others show too is none of one
// server, however strong it is.
std::map<std::string, FaultFinding> FindFaults(const ServiceHistory& service,
                                               TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_FAULT_DETECTION_H_
