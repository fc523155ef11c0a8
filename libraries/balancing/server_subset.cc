#include "balancing/server_subset.h"

#include <algorithm>
#include <map>

#include "base/rendezvous.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kLeastSubset = 6;

}  // namespace

std::vector<std::string> ChooseSubset(const std::string& instance,
                                      std::size_t instance_count,
                                      std::vector<SubsetServer> servers) {
  const std::size_t wanted =
      std::max(kLeastSubset, servers.size() * kInstancesPerServer /
                                 std::max<std::size_t>(1, instance_count));
  std::ranges::sort(servers, std::greater<>{}, [&](const SubsetServer& server) {
    return RendezvousWeight(instance, server.name);
  });
  // Ranks each server within its failure domain; the ranks then come in turn.
  std::map<std::string, std::size_t> domain_sizes;
  std::vector<std::pair<std::size_t, std::string>> ranked;
  for (const SubsetServer& server : servers) {
    ranked.emplace_back(domain_sizes[server.failure_domain]++, server.name);
  }
  std::ranges::stable_sort(ranked, {}, [](const auto& r) { return r.first; });
  std::vector<std::string> subset;
  for (const auto& [rank, name] : ranked) {
    if (subset.size() < wanted) {
      subset.push_back(name);
    }
  }
  return subset;
}

bool IsAmongTopRanked(const std::string& instance,
                      const std::string& server,
                      const std::vector<std::string>& instances,
                      std::size_t max_instances) {
  const std::uint64_t own = RendezvousWeight(server, instance);
  const auto ahead = std::ranges::count_if(instances, [&](const auto& other) {
    return RendezvousWeight(server, other) > own;
  });
  return static_cast<std::size_t>(ahead) < max_instances;
}

}  // namespace parsleyquay
