#include "detection/verdict_fingerprint.h"

#include "base/rendezvous.h"

namespace parsleyquay {

namespace {

// A held threshold may differ from the present one by up to a fifth.
constexpr long kThresholdTolerancePart = 5;
// 32 bits keep the decimal text in each report short.
constexpr std::uint64_t kDigestMask = 0xffffffff;

}  // namespace

VerdictFingerprint MakeVerdictFingerprint(const ServiceVerdict& verdict) {
  std::uint64_t digest = 0;
  for (const auto& [name, server] : verdict.servers) {
    std::string restriction = std::to_string(static_cast<int>(server.mode));
    for (const std::string& permitted : server.permitted_instances) {
      restriction += " " + permitted;
    }
    // A sum of hashes does not depend on the order of the servers.
    digest += RendezvousWeight(name, restriction);
  }
  return {digest & kDigestMask, verdict.slow_threshold};
}

bool IsVerdictOutdated(const VerdictFingerprint& fingerprint,
                       const ServiceVerdict& verdict) {
  const VerdictFingerprint present = MakeVerdictFingerprint(verdict);
  const Duration difference =
      std::chrono::abs(fingerprint.slow_threshold - present.slow_threshold);
  return fingerprint.digest != present.digest ||
         difference > present.slow_threshold / kThresholdTolerancePart;
}

}  // namespace parsleyquay
