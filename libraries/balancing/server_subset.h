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

// The number of instances that hold connections to one backend server.
constexpr std::size_t kInstancesPerServer = 24;

// Returns the names of the servers that one of `instance_count` instances uses.
// Their number is such that every server is used by about kInstancesPerServer
// instances, and at least six. They are taken from the failure domains in turn,
// so that the loss of one failure domain leaves servers of the others.
std::vector<std::string> ChooseSubset(const std::string& instance,
                                      std::size_t instance_count,
                                      std::vector<SubsetServer> servers);

// Returns whether `instance` is among the first `count` of `instances` in the
// rendezvous order of the server. Used for servers that only a few instances
// may use.
bool IsAmongTopRanked(const std::string& instance,
                      const std::string& server,
                      const std::vector<std::string>& instances,
                      std::size_t count);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BALANCING_SERVER_SUBSET_H_
