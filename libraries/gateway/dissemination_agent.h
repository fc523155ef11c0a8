#ifndef PARSLEYQUAY_GATEWAY_DISSEMINATION_AGENT_H_
#define PARSLEYQUAY_GATEWAY_DISSEMINATION_AGENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/change_feed_reader.h"
#include "dissemination/digest.h"
#include "event/timer.h"
#include "gateway/fleet_registration.h"
#include "gateway/gateway_context.h"
#include "gateway/membership_sync.h"

namespace parsleyquay {

// What this instance does for the others of its failure domain.
struct AggregationRole {
  bool is_aggregator = false;  // collects and passes on what they see
  bool is_standby = false;     // next in order
  // Hears no aggregator, so it has to read for itself.
  bool is_without_aggregator = true;

  bool operator==(const AggregationRole&) const = default;
};

// Finds the other instances, tells them that this one lives, and spreads what
// each sees of the backend servers. In every failure domain the members report
// to one of them, the aggregator; aggregators exchange digests with each other
// and pass them on, so that messages grow with the members and not with their
// square, and few bytes pass between failure domains.
class DisseminationAgent {
 public:
  struct Handlers {
    // What others, and this instance, have seen of the servers.
    std::function<void(const OutcomeSummary&)> on_outcomes;
    std::function<void(const Digest&)> on_digest;
    // Adds what only other parts know to a digest that is to be sent.
    std::function<void(Digest&)> fill_digest;
    std::function<void(const AggregationRole&)> on_role_change;
    std::function<std::vector<long>()> owned_shards;
    // Messages of other parts, see `message_methods`.
    std::function<void(const std::string& method, const Json::Value&)>
        on_message;
  };

  DisseminationAgent(GatewayContext& context,
                     std::vector<std::string> message_methods,
                     Handlers handlers);

  void Start();

  // Says at once that this instance leaves, or has changed its duties.
  void AnnounceStatus();

  // Takes back this instance's record.
  void Leave(std::function<void()> on_done);

  // Spreads what a request has shown of a server.
  void ReportOutcome(const OutcomeReport& report);

  // Spreads that a request for the service ended without a success.
  void ReportFailedRequest(const std::string& service);

 private:
  void OnTransportOpen();
  void OnMemberChanges(const std::vector<MemberChange>& changes);
  void OnPeerMessage(const std::string& method, const Json::Value& parameters);
  void OnHeartbeat(const Json::Value& parameters);
  void PassOnMember(const std::string& name);
  bool speaks_for(const std::string& member,
                  const std::string& failure_domain) const;
  void OnOutcome(const Json::Value& parameters);
  void OnDigest(const Json::Value& parameters);
  void OnTick();
  void UpdateRole();
  void CollectOutcome(const OutcomeReport& report);
  void Collect(const OutcomeSummary& seen);
  void CollectFailedRequest(const std::string& service);
  bool collects_itself() const;
  void ScheduleUrgentDigest();
  void SendHeartbeat();
  void SendDigest();
  std::vector<std::string> OwnDomainAddresses() const;
  std::vector<std::string> OtherAggregatorAddresses() const;
  std::string AddressOf(const std::string& name) const;
  MemberStatus OwnStatus() const;

  GatewayContext& context;
  Handlers handlers;
  FleetRegistration registration;
  MembershipSync membership_sync;
  ChangeFeedReader<MemberChange> feed_reader;
  Timer tick_timer;
  Timer urgent_timer;
  TimePoint started_at;
  bool has_read_again = false;
  AggregationRole current_role;
  std::optional<AggregationRole> announced_role;
  std::vector<std::string> aggregators;  // of the own failure domain, in order
  TimePoint first_since;                 // when the first of them became so
  TimePoint digest_at;                   // the newest from the first
  OutcomeSummary own_domain_outcomes;
  OutcomeSummary other_domain_outcomes;
  TimePoint digest_sent_at;
  TimePoint heartbeat_sent_at;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_DISSEMINATION_AGENT_H_
