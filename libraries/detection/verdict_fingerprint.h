#ifndef PARSLEYQUAY_DETECTION_VERDICT_FINGERPRINT_H_
#define PARSLEYQUAY_DETECTION_VERDICT_FINGERPRINT_H_

#include <cstdint>

#include "base/clock.h"
#include "detection/evidence.h"

namespace parsleyquay {

// What an instance says of the verdict that it holds, so that the home need not
// repeat it.
struct VerdictFingerprint {
  std::uint64_t digest = 0;  // of how the servers are to be treated
  Duration slow_threshold = Duration(0);

  bool operator==(const VerdictFingerprint&) const = default;
};

VerdictFingerprint MakeVerdictFingerprint(const ServiceVerdict& verdict);

// Whether an instance that holds this has to be told the verdict. A threshold
// that moved a little is not worth a message.
bool IsVerdictOutdated(const VerdictFingerprint& fingerprint,
                       const ServiceVerdict& verdict);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_VERDICT_FINGERPRINT_H_
