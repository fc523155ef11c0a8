#ifndef PARSLEYQUAY_ROUTING_FLEET_CONFIGURATION_H_
#define PARSLEYQUAY_ROUTING_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// A service with its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// The requests of one host below one path prefix, and what they are owed.
struct HostRoute {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  std::vector<WeightedService> services;
  bool is_idempotent = false;
  bool is_bulk = false;    // answers are large
  bool is_public = false;  // served without a key
  Duration timeout = Duration(0);
  Duration latency_target = Duration(0);
  int priority = 0;      // 0 is served first
  long max_servers = 1;  // that one request may be sent to

  bool operator==(const HostRoute&) const = default;
};

// What is known of all backend servers of a service.
struct ServiceConfiguration {
  long max_connections = 0;  // that one server accepts from all callers
  Duration cold_start = Duration(0);
  double cold_requests_per_second = 0;  // that a cold server bears; 0: any

  bool operator==(const ServiceConfiguration&) const = default;
};

// A workspace's rank and its rate over all instances together.
struct WorkspaceConfiguration {
  std::vector<std::string> key_digests;  // see SecretDigest()
  int priority = 0;                      // goes before a route's priority
  double requests_per_second = 0;        // 0: no limit
  double burst = 0;

  bool has_rate_limit() const { return this->requests_per_second > 0; }
  bool operator==(const WorkspaceConfiguration&) const = default;
};

// What a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 64 * 1024 * 1024;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);

  bool operator==(const CallerLimits&) const = default;
};

// One version of all that operators have published for requests.
struct FleetConfiguration {
  std::uint64_t version = 0;
  std::vector<HostRoute> routes;
  std::map<std::string, ServiceConfiguration> services;
  std::map<std::string, WorkspaceConfiguration> workspaces;
  CallerLimits limits;

  bool operator==(const FleetConfiguration&) const = default;
};

// The terms of a workspace or a service; the usual ones where it has none.
const WorkspaceConfiguration& GetWorkspaceConfiguration(
    const FleetConfiguration& configuration,
    const std::string& workspace);
const ServiceConfiguration& GetServiceConfiguration(
    const FleetConfiguration& configuration,
    const std::string& service);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ROUTING_FLEET_CONFIGURATION_H_
