#ifndef PARSLEYQUAY_DETECTION_FAULT_DETECTION_H_
#define PARSLEYQUAY_DETECTION_FAULT_DETECTION_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "detection/evidence_history.h"

namespace parsleyquay {

enum class FaultKind { kErrors, kSlowness };

// The statistical finding that one server, and not its service, is faulty.
struct FaultFinding {
  FaultKind kind = FaultKind::kErrors;
  Duration window = Duration(0);  // window with the highest score
  FaultCount own;                 // the server's counts in that window
  double others_rate = 0;         // fault rate of the service's other servers
  double score = 0;               // logarithm of the likelihood ratio

  bool operator==(const FaultFinding&) const = default;
};

std::string ToString(FaultKind kind);

// Evidence on the servers of one service, by server name.
using ServiceHistory = std::map<std::string, EvidenceHistory>;

// Returns the strongest finding for each faulty server, by server name. Each
// server is compared with the service's other servers over windows of several
// lengths that end now: a scan statistic (Glaz, Naus and Wallenstein, 2001,
// "Scan Statistics") of the binomial likelihood ratio. A fault that the other
// servers show as well is attributed to the service, whatever its rate.
std::map<std::string, FaultFinding> FindFaults(const ServiceHistory& service,
                                               TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_FAULT_DETECTION_H_
