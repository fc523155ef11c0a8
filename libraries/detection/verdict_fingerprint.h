#ifndef PARSLEYQUAY_DETECTION_VERDICT_FINGERPRINT_H_
#define PARSLEYQUAY_DETECTION_VERDICT_FINGERPRINT_H_

#include <cstdint>

#include "base/clock.h"
#include "detection/evidence.h"

namespace parsleyquay {

// Identifies the verdict that an instance holds. Sent with each report, so that
// the owner of the service resends the verdict only if it is outdated.
struct VerdictFingerprint {
  std::uint64_t digest = 0;  // of the servers' modes and permitted instances
  Duration slow_threshold = Duration(0);

  bool operator==(const VerdictFingerprint&) const = default;
};

VerdictFingerprint MakeVerdictFingerprint(const ServiceVerdict& verdict);

// Whether the verdict with this fingerprint has to be replaced by `verdict`. A
// small change of the slow threshold alone does not count.
bool IsVerdictOutdated(const VerdictFingerprint& fingerprint,
                       const ServiceVerdict& verdict);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_VERDICT_FINGERPRINT_H_
