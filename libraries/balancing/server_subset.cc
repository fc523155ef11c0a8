#include "balancing/server_subset.h"

#include <algorithm>
#include <map>

#include "base/rendezvous.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kMinSubsetSize = 6;

}  // namespace

std::vector<std::string> ChooseSubset(const std::string& instance,
                                      std::size_t instance_count,
                                      std::vector<SubsetServer> servers) {
  const std::size_t subset_size =
      std::max(kMinSubsetSize, servers.size() * kInstancesPerServer /
                                   std::max<std::size_t>(1, instance_count));
  std::ranges::sort(servers, std::greater<>{}, [&](const SubsetServer& server) {
    return RendezvousWeight(instance, server.name);
  });
  // Ranks each server within its failure domain, then takes the first server of
  // each domain, the second of each, and so on.
  std::map<std::string, std::size_t> domain_sizes;
  std::vector<std::pair<std::size_t, std::string>> ranked;
  for (const SubsetServer& server : servers) {
    ranked.emplace_back(domain_sizes[server.failure_domain]++, server.name);
  }
  std::ranges::stable_sort(ranked, {}, [](const auto& r) { return r.first; });
  std::vector<std::string> subset;
  for (const auto& [rank, name] : ranked) {
    if (subset.size() < subset_size) {
      subset.push_back(name);
    }
  }
  return subset;
}

bool IsAmongTopRanked(const std::string& instance,
                      const std::string& server,
                      const std::vector<std::string>& instances,
                      std::size_t count) {
  const std::uint64_t own_weight = RendezvousWeight(server, instance);
  const auto ahead = std::ranges::count_if(instances, [&](const auto& other) {
    return RendezvousWeight(server, other) > own_weight;
  });
  return static_cast<std::size_t>(ahead) < count;
}

}  // namespace parsleyquay
