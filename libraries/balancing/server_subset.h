#ifndef PARSLEYQUAY_BALANCING_SERVER_SUBSET_H_
#define PARSLEYQUAY_BALANCING_SERVER_SUBSET_H_

#include <string>
#include <vector>

namespace parsleyquay {

struct SubsetServer {
  std::string name;
  std::string failure_domain;

  bool operator==(const SubsetServer&) const = default;
};

// How many instances may hold connections to one backend server.
constexpr std::size_t kInstancesPerServer = 24;

// The servers that one instance of `instance_count` uses: enough for every
// server to serve about kInstancesPerServer instances, and at least six,
// taken in turn from each failure domain so that the loss of one leaves
// others.
std::vector<std::string> ChooseSubset(const std::string& instance,
                                      std::size_t instance_count,
                                      std::vector<SubsetServer> servers);

// Whether `instance` is among the first `max_instances` instances that may use
// a server which may only be used by a few.
bool IsAmongTopRanked(const std::string& instance,
                      const std::string& server,
                      const std::vector<std::string>& instances,
                      std::size_t max_instances);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BALANCING_SERVER_SUBSET_H_
