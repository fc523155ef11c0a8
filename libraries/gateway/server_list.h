#ifndef PARSLEYQUAY_GATEWAY_SERVER_LIST_H_
#define PARSLEYQUAY_GATEWAY_SERVER_LIST_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/feed_follower.h"
#include "dissemination/digest.h"
#include "event/timer.h"
#include "gateway/gateway_context.h"
#include "roster/server_roster.h"

namespace parsleyquay {

// Who reads the list of servers from the store.
enum class ListReading {
  kForOthers,  // in short turns, for the whole failure domain
  kByPeers,    // others read and pass on; the store is read now and then
};

// Keeps the roster of backend servers, from the store or from what another
// instance has read there, and collects what it has to pass on.
class ServerList {
 public:
  // Called for each server that is new, or starts a new life.
  using OnNewLife = std::function<void(const std::string& server)>;

  ServerList(GatewayContext& context, OnNewLife on_new_life);

  void Start() { this->follower.Start(); }
  void Stop() { this->follower.Stop(); }
  void SetReading(ListReading reading);
  void SetWithdrawnDomains(const std::set<std::string>& domains);

  // Takes over what a peer has read; reads the store if something is missing.
  void OnPeerChanges(const Digest& digest);

  // Puts the changes since the last call into a digest.
  void FillDigest(Digest& digest);

  const ServerRoster& roster() const { return this->servers; }
  bool is_available() const { return this->follower.is_available(); }
  bool has_been_read() const { return this->follower.position().has_value(); }

  // The names of a service's servers, whatever their state.
  const std::vector<std::string>& NamesOf(const std::string& service) const;

 private:
  void OnChanges(std::vector<ServerChange> changes, ChangeSet set);
  void Apply(const ServerChange& change);
  void RemoveLapsedServers();
  void AwaitLapse();
  void GroupByService();

  GatewayContext& context;
  OnNewLife on_new_life;
  FeedFollower<ServerChange> follower;
  Timer lapse_timer;
  ServerRoster servers;
  std::map<std::string, std::vector<std::string>> names_by_service;
  std::vector<ServerChange> unsent_changes;
  std::uint64_t sent_position = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_SERVER_LIST_H_
