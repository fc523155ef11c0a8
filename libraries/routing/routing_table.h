#ifndef PARSLEYQUAY_ROUTING_ROUTING_TABLE_H_
#define PARSLEYQUAY_ROUTING_ROUTING_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "routing/fleet_configuration.h"

namespace parsleyquay {

// Finds the route of a request and the workspace of a key in one version of
// the configuration, without a scan over all of them.
class RoutingTable {
 public:
  explicit RoutingTable(FleetConfiguration configuration);
  RoutingTable(const RoutingTable&) = delete;
  RoutingTable& operator=(const RoutingTable&) = delete;

  const FleetConfiguration& configuration() const { return this->published; }

  // The route of that host with the longest prefix of the path, or nullptr.
  // `host` may carry a port and ignores case; `target` may carry a query.
  const HostRoute* FindRoute(std::string_view host,
                             std::string_view target) const;

  // The name of the workspace that holds the key, or nullptr.
  const std::string* FindWorkspaceByKey(const std::string& key) const;

 private:
  FleetConfiguration published;
  // By host and prefix in one text; a host has no slash.
  std::unordered_map<std::string, const HostRoute*> routes;
  std::unordered_map<std::string, std::string> workspaces_by_digest;
};

// Draws one of a route's services in proportion to their weights. `random` is
// uniform over all values.
const std::string& SampleService(const HostRoute& route, std::uint64_t random);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ROUTING_ROUTING_TABLE_H_
