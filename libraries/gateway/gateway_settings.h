#ifndef PARSLEYQUAY_GATEWAY_GATEWAY_SETTINGS_H_
#define PARSLEYQUAY_GATEWAY_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/member_record.h"
#include "ini/ini_document.h"
#include "rate_limiting/fallback_quota.h"

namespace parsleyquay {

// Bounds that operators promise for the whole fleet.
struct FleetBounds {
  Duration termination_grace_period = seconds(6);  // from SIGTERM to SIGKILL
  Duration address_lifetime = seconds(5);  // that callers keep an answer
  double retry_ratio = 0.2;                // retries to requests of a service
  double retry_slack = 50;                 // retries beyond, in a window
  Duration retry_window = seconds(10);
  RateLimitTolerance rate_limit_tolerance;
  double cold_overshoot = 1.5;  // on what a cold server bears
  double cold_slack = 5;        // requests in any second, beyond

  bool operator==(const FleetBounds&) const = default;
};

// What one process learns from its settings file.
struct GatewaySettings {
  std::string name;
  std::string failure_domain;
  Capacity capacity;
  std::string request_address;  // "ip:port", like all addresses here
  std::string readiness_address;
  std::string directory_address;
  std::string peer_address;
  std::string metrics_address;
  std::string store_address;
  long shard_count = 1;  // into which the store deals the fleet's duties
  Duration shortest_lease = seconds(1);
  FleetBounds bounds;

  bool operator==(const GatewaySettings&) const = default;
};

struct ParsedGatewaySettings {
  GatewaySettings settings;
  std::vector<IniProblem> problems;
};

// Reads and checks a settings file; all faults are returned at once.
ParsedGatewaySettings ParseGatewaySettings(const std::string& text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_GATEWAY_SETTINGS_H_
