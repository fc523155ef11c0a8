#ifndef PARSLEYQUAY_ROUTING_FLEET_CONFIGURATION_H_
#define PARSLEYQUAY_ROUTING_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// A service that receives part of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;  // relative to the other services of the route

  bool operator==(const WeightedService&) const = default;
};

// A route: the requests for one host below one path prefix, the services that
// handle them and how they are handled.
struct HostRoute {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  std::vector<WeightedService> services;
  bool is_idempotent = false;
  bool is_bulk = false;    // request or response bodies are large
  bool is_public = false;  // served without an API key
  Duration timeout = Duration(0);
  Duration latency_target = Duration(0);
  int priority = 0;      // 0 is the highest
  long max_servers = 1;  // how many servers one request may be sent to

  bool operator==(const HostRoute&) const = default;
};

// The properties that the backend servers of a service have in common.
struct ServiceConfiguration {
  long max_connections = 0;  // accepted by one server, from all clients
  Duration cold_start = Duration(0);  // how long a new server is cold
  // How many requests per second a cold server can handle; 0: no limit.
  double cold_requests_per_second = 0;

  bool operator==(const ServiceConfiguration&) const = default;
};

// The API keys, the priority and the rate limit of a workspace. The rate limit
// applies to all instances together.
struct WorkspaceConfiguration {
  std::vector<std::string> key_digests;  // see SecretDigest()
  // Takes precedence over a route's priority; unset if none is stated.
  std::optional<int> priority;
  double requests_per_second = 0;  // 0: no limit
  double burst = 0;                // requests

  bool has_rate_limit() const { return this->requests_per_second > 0; }
  bool operator==(const WorkspaceConfiguration&) const = default;
};

// Limits on the requests that callers send.
struct CallerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 64 * 1024 * 1024;
  Duration header_timeout = seconds(3);  // until the headers are complete
  Duration idle_timeout = seconds(15);   // without progress

  bool operator==(const CallerLimits&) const = default;
};

// One version of the configuration that operators have published.
struct FleetConfiguration {
  std::uint64_t version = 0;
  std::vector<HostRoute> routes;
  std::map<std::string, ServiceConfiguration> services;
  std::map<std::string, WorkspaceConfiguration> workspaces;
  CallerLimits limits;

  bool operator==(const FleetConfiguration&) const = default;
};

// Return the configuration of a workspace or of a service, or the default one
// if it has none.
const WorkspaceConfiguration& GetWorkspaceConfiguration(
    const FleetConfiguration& configuration,
    const std::string& workspace);
const ServiceConfiguration& GetServiceConfiguration(
    const FleetConfiguration& configuration,
    const std::string& service);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ROUTING_FLEET_CONFIGURATION_H_
