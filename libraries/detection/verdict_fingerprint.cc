#include "detection/verdict_fingerprint.h"

#include "base/rendezvous.h"

namespace parsleyquay {

namespace {

// A held threshold may differ from the present one by a fifth.
constexpr long kThresholdPart = 5;
// Short enough to be cheap in each report.
constexpr std::uint64_t kDigestMask = 0xffffffff;

}  // namespace

VerdictFingerprint MakeVerdictFingerprint(const ServiceVerdict& verdict) {
  std::uint64_t digest = 0;
  for (const auto& [name, server] : verdict.servers) {
    std::string treatment = std::to_string(static_cast<int>(server.mode));
    for (const std::string& permitted : server.permitted_instances) {
      treatment += " " + permitted;
    }
    // The names are unique, so that a sum does not depend on an order.
    digest += RendezvousWeight(name, treatment);
  }
  return {digest & kDigestMask, verdict.slow_threshold};
}

bool IsVerdictOutdated(const VerdictFingerprint& fingerprint,
                       const ServiceVerdict& verdict) {
  const VerdictFingerprint present = MakeVerdictFingerprint(verdict);
  const Duration difference =
      std::chrono::abs(fingerprint.slow_threshold - present.slow_threshold);
  return fingerprint.digest != present.digest ||
         difference > present.slow_threshold / kThresholdPart;
}

}  // namespace parsleyquay
