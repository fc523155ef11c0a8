#ifndef PARSLEYQUAY_GATEWAY_SERVER_DISCOVERY_H_
#define PARSLEYQUAY_GATEWAY_SERVER_DISCOVERY_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/change_feed_reader.h"
#include "dissemination/digest.h"
#include "event/timer.h"
#include "gateway/gateway_context.h"
#include "roster/server_roster.h"

namespace parsleyquay {

// Who reads the list of servers from the store.
enum class ServerListSource {
  kStore,  // in short turns, for the whole failure domain
  kPeers,  // others read and pass on; the store is read now and then
};

// Keeps the roster of backend servers, from the store or from what another
// instance has read there, and collects what it has to pass on.
class ServerDiscovery {
 public:
  // Called for each server that is new, or starts a new life.
  using OnNewIncarnation = std::function<void(const std::string& server)>;

  ServerDiscovery(GatewayContext& context, OnNewIncarnation on_new_incarnation);

  void Start() { this->feed_reader.Start(); }
  void Stop() { this->feed_reader.Stop(); }
  void SetSource(ServerListSource source);
  void SetWithdrawnDomains(const std::set<std::string>& domains);

  // Takes over what a peer has read; reads the store if something is missing.
  void ApplyDigest(const Digest& digest);

  // Puts the changes since the last call into a digest.
  void AddChangesToDigest(Digest& digest);

  const ServerRoster& roster() const { return this->servers; }
  bool is_available() const { return this->feed_reader.is_available(); }
  bool has_been_loaded() const {
    return this->feed_reader.position().has_value();
  }

  // The names of a service's servers, whatever their state.
  const std::vector<std::string>& ServersOfService(
      const std::string& service) const;

 private:
  void OnChanges(std::vector<ServerChange> changes, ChangeSetKind kind);
  void Apply(const ServerChange& change);
  void RemoveLapsedServers();
  void AwaitLapse();
  void GroupByService();

  GatewayContext& context;
  OnNewIncarnation on_new_incarnation;
  ChangeFeedReader<ServerChange> feed_reader;
  Timer lapse_timer;
  ServerRoster servers;
  std::map<std::string, std::vector<std::string>> names_by_service;
  std::vector<ServerChange> unsent_changes;
  std::uint64_t sent_position = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_SERVER_DISCOVERY_H_
