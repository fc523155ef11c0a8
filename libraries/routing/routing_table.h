#ifndef PARSLEYQUAY_ROUTING_ROUTING_TABLE_H_
#define PARSLEYQUAY_ROUTING_ROUTING_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "routing/fleet_configuration.h"

namespace parsleyquay {

// An index over one version of the configuration that finds the route of a
// request and the workspace of an API key without scanning all of them.
class RoutingTable {
 public:
  explicit RoutingTable(FleetConfiguration configuration);
  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;

  const FleetConfiguration& configuration() const { return this->published; }

  // Returns the route of the host whose path prefix is the longest that matches
  // the path, or nullptr if there is none. `host` is not case-sensitive and may
  // contain a port; `target` may contain a query.
  const HostRoute* FindRoute(std::string_view host,
                             std::string_view target) const;

  // Returns the name of the workspace that the API key belongs to, or nullptr
  // if there is none.
  const std::string* FindWorkspaceByKey(const std::string& key) const;

 private:
  FleetConfiguration published;
  // By host, then by path prefix. NOTE: the Host header of a request may
  // contain a slash, so host and path must not be joined into one key.
  std::unordered_map<std::string,
                     std::unordered_map<std::string, const HostRoute*>>
      routes;
  std::unordered_map<std::string, std::string> workspaces_by_digest;
};

// Picks one of a route's services at random, in proportion to their weights.
// `random` must be uniformly distributed over all 64-bit values.
const std::string& SampleService(const HostRoute& route, std::uint64_t random);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ROUTING_ROUTING_TABLE_H_
