#include "routing/routing_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <utility>

#include "base/random_id.h"
#include "base/unit_interval.h"

namespace parsleyquay {

namespace {

// Removes the port and converts the host to lower case.
std::string NormalizeHost(std::string_view host) {
  std::string normalized(host.substr(0, host.find(':')));
  std::ranges::transform(normalized, normalized.begin(),
                         [](unsigned char letter) {
                           return static_cast<char>(std::tolower(letter));
                         });
  return normalized;
}

}  // namespace

RoutingTable::RoutingTable(FleetConfiguration configuration)
    : published(std::move(configuration)) {
  for (const HostRoute& route : this->published.routes) {
    this->routes[NormalizeHost(route.host)][route.path_prefix] = &route;
  }
  for (const auto& [name, workspace] : this->published.workspaces) {
    for (const std::string& digest : workspace.key_digests) {
      this->workspaces_by_digest[digest] = name;
    }
  }
}

const HostRoute* RoutingTable::FindRoute(std::string_view host,
                                         std::string_view target) const {
  const auto of_host = this->routes.find(NormalizeHost(host));
  if (of_host == this->routes.end()) {
    return nullptr;
  }
  std::string prefix(target.substr(0, target.find('?')));
  for (auto slash = prefix.rfind('/'); slash != std::string::npos;
       slash = slash == 0 ? std::string::npos : prefix.rfind('/', slash - 1)) {
    prefix.resize(slash + 1);
    const auto found = of_host->second.find(prefix);
    if (found != of_host->second.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const std::string* RoutingTable::FindWorkspaceByKey(
    const std::string& key) const {
  const auto found = this->workspaces_by_digest.find(SecretDigest(key));
  return found == this->workspaces_by_digest.end() ? nullptr : &found->second;
}

const std::string& SampleService(const HostRoute& route, std::uint64_t random) {
  const double total =
      std::accumulate(route.services.begin(), route.services.end(), 0.,
                      [](double sum, const WeightedService& weighted) {
                        return sum + weighted.weight;
                      });
  double remaining = total * ToUnitInterval(random);
  const auto chosen = std::ranges::find_if(
      route.services, [&](const WeightedService& weighted) {
        remaining -= weighted.weight;
        return remaining < 0;
      });
  return chosen == route.services.end() ? route.services.back().service
                                        : chosen->service;
}

}  // namespace parsleyquay
