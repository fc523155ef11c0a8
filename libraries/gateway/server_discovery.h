#ifndef PARSLEYQUAY_GATEWAY_SERVER_DISCOVERY_H_
#define PARSLEYQUAY_GATEWAY_SERVER_DISCOVERY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/change_feed_reader.h"
#include "dissemination/digest.h"
#include "event/timer.h"
#include "gateway/gateway_context.h"
#include "gateway/list_age_limit.h"
#include "roster/server_roster.h"

namespace parsleyquay {

// Where the list of backend servers mainly comes from.
enum class ServerListSource {
  kStore,  // the store, which is read often
  kPeers,  // digests of peers; the store is read rarely, or if the digests do
           // not tell that the list is complete
};

// Keeps the roster of backend servers up to date, from the store or from the
// changes that other instances have read there, and collects the changes that
// this instance has to forward.
class ServerDiscovery {
 public:
  struct Handlers {
    // Called for each server that is new or has restarted.
    std::function<void(const std::string& server)> on_new_incarnation;
    // Called when there is something to forward in a digest without delay.
    std::function<void()> on_news;
    // Called when the peer has told of changes that this instance misses and
    // the store is unavailable to it.
    std::function<void(const std::string& peer)> on_gap;
    // Called when the list has been read from the store. `was_old` states
    // whether it was read since nobody had told that it is complete.
    std::function<void(bool was_old)> on_read;
  };

  ServerDiscovery(GatewayContext& context, Handlers handlers);

  void Start() { this->feed_reader.Start(); }
  void Stop() { this->feed_reader.Stop(); }
  void SetSource(ServerListSource source);
  void SetReadOrder(const ListReadOrder& order);
  // Leaves reads for others to an instance that does so too.
  void StopReadingForOthers() { this->age_reads.read_for_others_at.reset(); }

  // Sets the failure domains whose servers get no requests.
  void SetWithdrawnDomains(const std::set<std::string>& domains);

  // Applies the server changes in a digest of a peer. Reads the store if
  // earlier changes are missing.
  void ApplyDigest(const Digest& digest);

  // Adds to a digest the server changes since the last call, or the full list
  // if peers cannot be assumed to know what this instance knew before.
  void AddChangesToDigest(Digest& digest);

  // Lets the next AddChangesToDigest() add only the changes from now on. For an
  // instance that sends digests only when it has read for others: these know
  // what it knew before.
  void SkipChangesBeforeNow();

  // Adds the full list of servers to a digest. Returns false, without adding
  // it, if the list is unknown or too long for a datagram.
  bool AddFullListToDigest(Digest& digest) const;

  // The server at `address` has stated that it leaves. Has no effect if the
  // server is listed at another address by now.
  void MarkLeaving(const std::string& server, const std::string& address);

  const ServerRoster& roster() const { return this->server_roster; }

  // Whether the newest read of the store succeeded.
  bool is_available() const { return this->feed_reader.is_available(); }

  // Returns how many reads of the store have failed since the start.
  std::uint64_t failed_reads() const {
    return this->feed_reader.failed_reads();
  }

  // Returns how long ago the list was last known to be complete, or
  // std::nullopt if it never was.
  std::optional<Duration> ListAge() const;

  // Whether the whole list has been read once.
  bool has_been_loaded() const {
    return this->feed_reader.position().has_value();
  }

  // The position up to which this instance has read or heard of the list, 0 at
  // first.
  FeedPosition position() const {
    return this->feed_reader.position().value_or(FeedPosition());
  }

  // Returns the names of a service's servers, including those that may get no
  // requests.
  const std::vector<std::string>& ServersOfService(
      const std::string& service) const;

 private:
  void OnChanges(std::vector<ServerChange> changes, ChangeSetKind kind);
  void OnRead(TimePoint known_at);
  void Apply(const ServerChange& change);
  void LogChange(const ServerChange& change, RosterEvent event) const;
  void OnAvailability(bool is_available);
  void AskPeerForGap();
  void LogGap(const Digest& digest);
  void ApplyChangesInDigest(const Digest& digest);
  void SetListKnownAt(TimePoint known_at);
  void StartLapseGracePeriodAfter(Duration outage);
  void ScheduleAgeRead();
  void OnOldList();
  Duration NewEraDelay() const;
  void KeepServersInNewEra();
  std::string ListAgeText() const;
  void OnRemovalTimer();
  void ScheduleRemoval();
  void GroupByService();

  GatewayContext& context;
  Handlers handlers;
  ChangeFeedReader<ServerChange> feed_reader;
  Timer removal_timer;
  Timer age_timer;
  ServerRoster server_roster;
  std::map<std::string, std::vector<std::string>> names_by_service;
  // The position of the servers' feed that the last digest has stated, or
  // std::nullopt if the next digest has to contain the full list.
  std::optional<FeedPosition> sent_position;
  std::vector<ServerChange> unsent_changes;  // since `sent_position`
  ServerListSource source = ServerListSource::kPeers;
  AgeReads age_reads;
  // Set from a change of the source to the store until its first read ends.
  std::optional<TimePoint> became_reader_at;
  // The peer whose digest is being applied, or empty.
  std::string digest_sender;
  // Changes that a digest has shown to be missing, until the position is past
  // them.
  struct {
    std::string peer;  // that has them
    FeedPosition end;
  } gap;
  std::optional<std::uint64_t> applied_era;  // of the newest changes
  // The list contains all changes before this time.
  std::optional<TimePoint> list_known_at;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_SERVER_DISCOVERY_H_
