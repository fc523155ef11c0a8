#include "routing/routing_table.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <utility>

#include "base/random_id.h"
#include "base/unit_interval.h"

namespace parsleyquay {

namespace {

std::string NormalizeHost(std::string_view host) {
  std::string normal(host.substr(0, host.find(':')));
  std::ranges::transform(normal, normal.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return normal;
}

}  // namespace

RoutingTable::RoutingTable(FleetConfiguration configuration)
    : published(std::move(configuration)) {
  for (const HostRoute& route : this->published.routes) {
    this->routes[NormalizeHost(route.host) + route.path_prefix] = &route;
  }
  for (const auto& [name, workspace] : this->published.workspaces) {
    for (const std::string& digest : workspace.key_digests) {
      this->workspaces_by_digest[digest] = name;
    }
  }
}

const HostRoute* RoutingTable::FindRoute(std::string_view host,
                                         std::string_view target) const {
  std::string_view path = target.substr(0, target.find('?'));
  std::string key = NormalizeHost(host);
  const std::size_t host_size = key.size();
  key += path;
  for (auto slash = key.rfind('/');
       slash != std::string::npos && slash >= host_size;
       slash = slash == 0 ? std::string::npos : key.rfind('/', slash - 1)) {
    key.resize(slash + 1);
    const auto found = this->routes.find(key);
    if (found != this->routes.end()) {
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
                      [](double sum, const WeightedService& part) {
                        return sum + part.weight;
                      });
  double left = total * ToUnitInterval(random);
  const auto drawn =
      std::ranges::find_if(route.services, [&](const WeightedService& part) {
        left -= part.weight;
        return left < 0;
      });
  return drawn == route.services.end() ? route.services.back().service
                                       : drawn->service;
}

}  // namespace parsleyquay
