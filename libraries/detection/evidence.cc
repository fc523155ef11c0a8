#include "detection/evidence.h"

#include <algorithm>

namespace parsleyquay {

namespace {

constexpr int kSlowFactor = 4;
constexpr Duration kSlowMargin = milliseconds(5);
constexpr int kSmoothingShift = 3;  // each request counts one eighth

}  // namespace

ServerRestrictions RestrictionsFor(const std::string& instance,
                                   const ServiceVerdict& verdict) {
  ServerRestrictions restrictions;
  for (const auto& [name, server] : verdict.servers) {
    if (server.mode == ServerMode::kActive) {
      continue;
    }
    const bool is_permitted =
        server.mode == ServerMode::kLimited &&
        std::ranges::find(server.permitted_instances, instance) !=
            server.permitted_instances.end();
    (is_permitted ? restrictions.limited : restrictions.excluded)
        .push_back(name);
  }
  return restrictions;
}

Duration SlowThreshold(Duration usual) {
  return usual * kSlowFactor + kSlowMargin;
}

Duration SmoothLatency(Duration smoothed, Duration latency) {
  if (smoothed == Duration(0)) {
    return latency;
  }
  return smoothed + (latency - smoothed) / (1 << kSmoothingShift);
}

}  // namespace parsleyquay
