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

// Target for the number of instances that use one backend server.
constexpr std::size_t kInstancesPerServer = 24;

// Returns the names of the servers that one of `instance_count` instances uses.
// These are at least six servers, and as many as needed for each server to be
// used by about kInstancesPerServer instances. They are taken from the failure
// domains in turn, so that the loss of one failure domain leaves servers of the
// others.
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
