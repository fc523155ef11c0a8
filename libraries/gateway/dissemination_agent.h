#ifndef PARSLEYQUAY_GATEWAY_DISSEMINATION_AGENT_H_
#define PARSLEYQUAY_GATEWAY_DISSEMINATION_AGENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/change_feed_reader.h"
#include "dissemination/aggregator_election.h"
#include "dissemination/digest.h"
#include "dissemination/rejoin.h"
#include "event/timer.h"
#include "gateway/fleet_registration.h"
#include "gateway/gateway_context.h"
#include "gateway/membership_sync.h"
#include "gateway/server_list_sharing.h"

namespace parsleyquay {

// Discovers the other instances, monitors which of them are alive, and shares
// the outcomes of requests to backend servers. In every failure domain the
// members send heartbeats and outcomes to one of them, the aggregator. Each
// aggregator combines them into digests, and sends these to the aggregators of
// the other failure domains and to its own members. The number of messages thus
// grows linearly, not quadratically, with the number of members, and few bytes
// are sent between failure domains.
class DisseminationAgent {
 public:
  struct Handlers {
    // Called with outcomes that this or other instances have observed.
    std::function<void(const OutcomeSummary&)> on_outcomes;
    std::function<void(const Digest&)> on_digest;
    // Adds the state of other components to a digest before it is sent.
    std::function<void(Digest&)> fill_digest;
    // Adds only what this instance has read from the store, and heard of what
    // others have read.
    std::function<void(Digest&)> fill_store_news;
    // Adds the full list of servers to a digest; returns whether it did.
    std::function<bool(Digest&)> add_full_server_list;
    std::function<void(const AggregationRole&)> on_role_change;
    // Called when this instance's place among the candidates for aggregator has
    // changed.
    std::function<void()> on_rank_change;
    // Returns the shards that this instance owns, for its heartbeats.
    std::function<std::vector<long>()> owned_shards;
    // Called with messages whose method is one of `message_methods`.
    std::function<void(const std::string& method, const Json::Value&)>
        on_message;
  };

  // `message_methods` are the methods of messages that other components of the
  // instances exchange over the peer transport.
  DisseminationAgent(GatewayContext& context,
                     std::vector<std::string> message_methods,
                     Handlers handlers);

  void Start();

  // Sends this instance's status without waiting for the next heartbeat; to be
  // called when it has changed. Does nothing before the peer transport is open.
  void AnnounceStatus();

  // Sends a digest without waiting for the next regular one, if this instance
  // is the aggregator.
  void SendDigestSoon();

  // Forwards within this failure domain what the store states. To be called
  // after a read of the store. An instance that is neither the aggregator nor
  // its standby forwards only if `is_for_others`: these have not told it.
  void ForwardStoreNews(bool is_for_others);

  // Requests the full list of servers from a member, which sends it in a
  // digest.
  void RequestServerList(const std::string& member);

  // Deletes this instance's record from the store.
  void Leave(std::function<void()> on_done);

  // Shares the outcome of a request to a backend server with all instances.
  void ReportOutcome(const OutcomeReport& report);

  // Which aggregator this instance follows.
  const AggregatorElection& current_election() const { return this->election; }

  // Shares that a request for the service was not served successfully.
  void ReportFailedRequest(const std::string& service);

 private:
  void OnTransportOpen();
  void OnMemberChanges(const std::vector<MemberChange>& changes);
  void OnPeerMessage(const std::string& method, const Json::Value& parameters);
  void OnHeartbeat(const Json::Value& parameters);
  void OnAggregatorReferral(const Json::Value& parameters);
  void SendRejoinMessages(const RejoinMessages& messages);
  void ForwardMember(const std::string& name, MemberUpdateResult result);
  void OnOutcome(const Json::Value& parameters);
  void OnDigest(const Json::Value& parameters);
  void OnTick();
  void UpdateRole();
  void CollectOutcome(const OutcomeReport& report);
  void Collect(const OutcomeSummary& observed);
  void CollectFailedRequest(const std::string& service);
  bool has_to_collect() const;
  void SendHeartbeat();
  void SendDigest();
  void SendDigestToAll();
  std::vector<std::string> OwnDomainAddresses() const;
  std::vector<std::string> AddressesOf(
      const std::vector<std::string>& names) const;
  std::string AddressOf(const std::string& name) const;
  MemberStatus OwnStatus() const;

  GatewayContext& context;
  Handlers handlers;
  FleetRegistration registration;
  MembershipSync membership_sync;
  AggregatorElection election;
  RejoinState rejoin;
  ChangeFeedReader<MemberChange> feed_reader;
  Timer tick_timer;
  Timer urgent_timer;
  ServerListSharing server_list_sharing;
  TimePoint started_at;
  bool has_reread_records = false;
  std::optional<AggregationRole> reported_role;
  std::optional<std::size_t> reported_rank;
  // Outcomes to be sent with the next digest.
  OutcomeSummary own_domain_outcomes;
  OutcomeSummary other_domain_outcomes;
  TimePoint digest_sent_at;
  TimePoint heartbeat_sent_at;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_DISSEMINATION_AGENT_H_
