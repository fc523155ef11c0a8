#ifndef PARSLEYQUAY_GATEWAY_GATEWAY_SETTINGS_H_
#define PARSLEYQUAY_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_queue.h"
#include "base/clock.h"
#include "client_limits/client_limits.h"
#include "coordination/member_record.h"
#include "ini/ini_document.h"
#include "rate_limiting/fallback_quota.h"

namespace parsleyquay {

// Limits that operators set and the whole fleet keeps. Each is optional in the
// settings file; a limit that is missing or has an empty value keeps the
// default below.
struct FleetBounds {
  Duration termination_grace_period = seconds(6);  // from SIGTERM to SIGKILL
  // Longest time for which clients cache the addresses of instances.
  Duration address_lifetime = seconds(5);
  double retry_ratio = 0.2;  // retries per request of a service
  double retry_slack = 50;   // further retries within a window
  Duration retry_window = seconds(10);
  RateLimitTolerance rate_limit_tolerance;
  // Whether a workspace's tokens are reserved for its requests of higher
  // priority while these need them. Otherwise the first request gets the token.
  bool has_token_priorities = false;
  // Factor by which the configured request rate of a cold server, one that has
  // started recently, may be exceeded. Without effect for services whose
  // configuration states no such rate.
  double cold_overshoot = 1.5;
  double cold_slack = 5;  // further requests to it within any second
  // Rollouts of services take place only if all three are stated. A bad version
  // gets at most this share of the service's requests, and some further
  // requests, and none later than `rollback_time` after its 50th bad response.
  std::optional<double> rollout_exposure_share;
  std::optional<double> rollout_exposure_slack;
  std::optional<Duration> rollback_time;

  bool operator==(const FleetBounds&) const = default;
};

// The settings file of one instance.
struct GatewaySettings {
  std::string name;  // of the instance, unique in the fleet
  std::string failure_domain;
  Capacity capacity;
  ProcessLimits process_limits;
  // All addresses are "ip:port".
  std::string request_address;    // for requests to be proxied
  std::string readiness_address;  // for readiness probes
  std::string directory_address;  // for clients' address queries
  std::string peer_address;       // for UDP messages of other instances
  std::string metrics_address;
  std::string store_address;  // of the store that coordinates the fleet
  long shard_count = 1;       // shards, among which workspaces are distributed
  Duration shortest_lease = seconds(1);  // that the store accepts for shards
  FleetBounds bounds;
  AdmissionLimits admission;  // without its section, requests never wait
  // Whether instances give each other the credit for retries that they do not
  // need.
  bool has_pooled_retries = false;
  // Whether this instance gets the operators' changes from an aggregator if it
  // can, and tells them to others. Otherwise it reads them from the store.
  bool has_configuration_from_aggregators = false;

  bool operator==(const GatewaySettings&) const = default;
};

struct ParsedGatewaySettings {
  GatewaySettings settings;
  std::vector<IniProblem> problems;
};

// Parses and validates the text of a settings file. Returns all problems; if
// there are any, the settings must not be used.
ParsedGatewaySettings ParseGatewaySettings(const std::string& text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_GATEWAY_SETTINGS_H_
