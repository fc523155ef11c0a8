#include "gateway/dissemination_agent.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr char kHeartbeat[] = "heartbeat";
constexpr char kOutcome[] = "outcome";
constexpr char kFailedRequest[] = "unserved";

// Successful outcomes are shared within 250 ms, failures at once.
constexpr Duration kTickInterval = milliseconds(250);
constexpr Duration kUrgentDelay = milliseconds(5);
constexpr Duration kMaxDigestInterval = milliseconds(500);

constexpr Duration kHeartbeatInterval = milliseconds(1'000);

// When the whole fleet starts, all instances write their records within about a
// second. Therefore the records are read once more after that, and no instance
// assumes a role earlier. Later, members become known by heartbeats and
// digests; the rare reads are for members of a failure domain that was
// unreachable as a whole.
constexpr FeedReadSchedule kMemberReadSchedule = {.interval = seconds(60),
                                                  .timeout = milliseconds(700)};
constexpr Duration kRereadDelay = milliseconds(1'200);
constexpr Duration kFirstRoleDelay = milliseconds(1'500);

// More frequent, so that aggregators discover each other.
constexpr FeedReadSchedule kAggregatorReadSchedule = {
    .interval = seconds(5),
    .timeout = milliseconds(700)};

std::vector<std::string> WithOwnMethods(std::vector<std::string> methods) {
  methods.insert(methods.end(),
                 {kHeartbeat, kOutcome, kFailedRequest, kDigestMethod,
                  ServerListSharing::RequestMethod(), kAggregatorReferralMethod,
                  MembershipSync::MemberListRequestMethod()});
  return methods;
}

}  // namespace

DisseminationAgent::DisseminationAgent(GatewayContext& context,
                                       std::vector<std::string> message_methods,
                                       Handlers handlers)
    : context(context),
      handlers(std::move(handlers)),
      registration(
          context,
          WithOwnMethods(std::move(message_methods)),
          {.on_open = [this] { this->OnTransportOpen(); },
           .on_message =
               [this](const std::string& method, const Json::Value& value) {
                 this->OnPeerMessage(method, value);
               }}),
      membership_sync(context),
      election({.name = context.settings.name,
                .failure_domain = context.settings.failure_domain}),
      feed_reader(
          context.loop,
          "members",
          context.coordination.members,
          kMemberReadSchedule,
          {.on_changes =
               [this](const std::vector<MemberChange>& changes, ChangeSetKind) {
                 this->OnMemberChanges(changes);
               }}),
      tick_timer(context.loop, [this] { this->OnTick(); }),
      urgent_timer(context.loop, [this] { this->SendDigest(); }),
      server_list_sharing(context, [this](Digest& digest) {
        return this->handlers.add_full_server_list(digest);
      }) {}

void DisseminationAgent::Start() {
  this->started_at = this->context.Now();
  this->feed_reader.Start();
  this->registration.Join();
  this->tick_timer.StartRepeating(kTickInterval);
}

void DisseminationAgent::AnnounceStatus() {
  if (!this->context.peer_transport) {
    return;
  }
  UpdateMemberStatus(this->context.members, this->OwnStatus(), Duration(0),
                     this->context.Now());
  this->SendHeartbeat();
  this->ForwardMember(this->context.settings.name,
                      MemberUpdateResult::kChanged);
  // Sent now, since an aggregator that leaves loses this role a moment later.
  this->SendDigest();
}

void DisseminationAgent::Leave(std::function<void()> on_done) {
  this->registration.Leave(std::move(on_done));
}

void DisseminationAgent::ReportOutcome(const OutcomeReport& report) {
  if (this->has_to_collect()) {
    this->CollectOutcome(report);
    return;
  }
  this->context.peer_transport->Send(
      this->AddressOf(FollowedAggregator(this->election)), kOutcome,
      EncodeOutcome(report));
  // A successful outcome is applied to the estimates only when the aggregator's
  // next digest returns it. A failure is also applied at once, so that no
  // further request is sent to the server before that; so is every outcome
  // while this instance is without an aggregator.
  if (IsUrgent(report.outcome) || this->election.role.is_without_aggregator) {
    OutcomeSummary observed;
    AddOutcome(observed, report, this->context.Now());
    observed.version_outcomes.clear();  // counted when the digest returns them
    this->handlers.on_outcomes(observed);
  }
}

void DisseminationAgent::ReportFailedRequest(const std::string& service) {
  if (this->has_to_collect()) {
    this->CollectFailedRequest(service);
    return;
  }
  Json::Value parameters;
  parameters["s"] = service;
  this->context.peer_transport->Send(
      this->AddressOf(FollowedAggregator(this->election)), kFailedRequest,
      parameters);
}

// Returns whether this instance merges outcomes itself, since it is the
// aggregator or knows none.
bool DisseminationAgent::has_to_collect() const {
  return this->election.role.is_aggregator || !this->context.peer_transport ||
         this->election.candidates.empty();
}

void DisseminationAgent::CollectFailedRequest(const std::string& service) {
  OutcomeSummary observed;
  observed.failed_requests_by_service[service] = 1;
  this->Collect(observed);
}

void DisseminationAgent::Collect(const OutcomeSummary& observed) {
  this->handlers.on_outcomes(observed);
  MergeSummary(this->own_domain_outcomes, observed);
}

void DisseminationAgent::OnTransportOpen() {
  this->UpdateRole();
  this->SendHeartbeat();
}

void DisseminationAgent::OnMemberChanges(
    const std::vector<MemberChange>& changes) {
  const TimePoint now = this->context.Now();
  this->context.has_read_members = true;
  for (const MemberChange& change : changes) {
    if (change.name == this->context.settings.name) {
      this->context.has_previous_incarnation =
          this->context.has_previous_incarnation ||
          (change.record &&
           change.record->incarnation != this->context.incarnation);
      continue;
    }
    if (change.record) {
      if (UpdateMemberRecord(this->context.members, *change.record, now)) {
        this->ForwardMember(change.name, MemberUpdateResult::kChanged);
      }
      continue;
    }
    RemoveMember(this->context.members, change.name);
  }
  this->UpdateRole();
}

void DisseminationAgent::OnPeerMessage(const std::string& method,
                                       const Json::Value& parameters) {
  if (method == kHeartbeat) {
    this->OnHeartbeat(parameters);
  } else if (method == kOutcome) {
    this->OnOutcome(parameters);
  } else if (method == kFailedRequest) {
    this->CollectFailedRequest(parameters["s"].asString());
  } else if (method == kDigestMethod) {
    this->OnDigest(parameters);
  } else if (method == kAggregatorReferralMethod) {
    this->OnAggregatorReferral(parameters);
  } else if (method == ServerListSharing::RequestMethod()) {
    this->server_list_sharing.OnRequest(parameters);
  } else if (method == MembershipSync::MemberListRequestMethod()) {
    this->membership_sync.OnMemberListRequest(parameters);
  } else {
    this->handlers.on_message(method, parameters);
  }
}

void DisseminationAgent::OnHeartbeat(const Json::Value& parameters) {
  const auto heartbeat = DecodeHeartbeat(parameters);
  if (!heartbeat) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  const MemberStatus& status = heartbeat->status;
  const TimePoint now = this->context.Now();
  const MemberUpdateResult result =
      UpdateMemberStatus(this->context.members, status, Duration(0), now);
  this->SendRejoinMessages(OnHeartbeatReceived(
      this->rejoin, this->election, this->context.members, *heartbeat, now));
  if (result == MemberUpdateResult::kChanged) {
    LogEvent(LogLevel::kInfo, "member",
             {{"member", status.record.name},
              {"incarnation", status.record.incarnation},
              {"ready", status.is_ready ? "yes" : "no"},
              {"leaving", status.is_leaving ? "yes" : "no"},
              {"duties", std::to_string(status.owned_shards.size())}});
  }
  this->ForwardMember(status.record.name, result);
}

void DisseminationAgent::OnAggregatorReferral(const Json::Value& parameters) {
  const auto referral = DecodeAggregatorReferral(parameters);
  if (!referral) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  IncrementCounter(this->context.metrics, "aggregator_referrals_received");
  this->SendRejoinMessages(OnReferralReceived(this->rejoin, this->election,
                                              this->context.members, *referral,
                                              this->context.Now()));
}

void DisseminationAgent::SendRejoinMessages(const RejoinMessages& messages) {
  if (!this->context.peer_transport) {
    return;
  }
  if (!messages.heartbeats.empty()) {
    IncrementCounter(this->context.metrics, "rejoin_heartbeats_sent",
                     messages.heartbeats.size());
    this->context.peer_transport->SendToAll(
        this->AddressesOf(messages.heartbeats), kHeartbeat,
        EncodeHeartbeat(
            {this->OwnStatus(), FollowedAggregator(this->election)}));
  }
  if (!messages.referrals.empty()) {
    this->context.peer_transport->SendToAll(
        this->AddressesOf(messages.referrals), kAggregatorReferralMethod,
        EncodeAggregatorReferral(
            {.sender = this->context.settings.name,
             .aggregator = FollowedAggregator(this->election)}));
  }
}

// Includes the member in the next digest, which is sent without delay if the
// status has changed. Many members may return at the same time after a network
// partition; they wait for the next regular digest. Does nothing on an instance
// that is not the aggregator, except for recording the return.
void DisseminationAgent::ForwardMember(const std::string& name,
                                       MemberUpdateResult result) {
  if (result == MemberUpdateResult::kReturned) {
    this->membership_sync.RecordMemberReturn();
  }
  if (!this->election.role.is_aggregator ||
      result == MemberUpdateResult::kNothing) {
    return;
  }
  this->membership_sync.MarkChanged(name);
  if (result == MemberUpdateResult::kChanged) {
    this->SendDigestSoon();
  }
}

void DisseminationAgent::OnOutcome(const Json::Value& parameters) {
  const auto report = DecodeOutcome(parameters);
  if (!report) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  this->CollectOutcome(*report);
}

void DisseminationAgent::CollectOutcome(const OutcomeReport& report) {
  OutcomeSummary observed;
  AddOutcome(observed, report, this->context.Now());
  this->Collect(observed);
  if (IsUrgent(report.outcome)) {
    this->SendDigestSoon();
  }
}

void DisseminationAgent::SendDigestSoon() {
  if (this->context.peer_transport) {
    this->urgent_timer.StartOnce(kUrgentDelay);
  }
}

void DisseminationAgent::ForwardStoreNews(bool is_for_others) {
  const AggregationRole& role = this->election.role;
  if (role.is_aggregator) {
    this->SendDigestSoon();
    return;
  }
  if (!this->context.peer_transport || (!role.is_standby && !is_for_others)) {
    return;
  }
  Digest digest{.sender = this->context.settings.name};
  if (role.is_standby) {
    this->handlers.fill_digest(digest);
  } else {
    this->handlers.fill_store_news(digest);
  }
  SendDigestInParts(this->context, this->OwnDomainAddresses(),
                    std::move(digest));
}

void DisseminationAgent::RequestServerList(const std::string& member) {
  this->server_list_sharing.Request(member);
}

void DisseminationAgent::OnDigest(const Json::Value& parameters) {
  const TimePoint now = this->context.Now();
  const auto digest = DecodeDigest(parameters, now);
  if (!digest) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  IncrementCounter(this->context.metrics, "digests_received");
  IncrementCounter(this->context.metrics, "outcomes_told",
                   CountOutcomes(digest->outcomes));
  for (const auto& [name, result] :
       this->membership_sync.MergeMembers(*digest)) {
    this->ForwardMember(name, result);
  }
  if (RecordDigestSender(this->election, this->context.members, digest->sender,
                         now)) {
    this->ForwardMember(digest->sender, MemberUpdateResult::kReturned);
  }
  this->SendRejoinMessages(OnDigestReceived(
      this->rejoin, this->election, this->context.members, *digest, now));
  this->membership_sync.CompareDomains(
      *digest, [&](const std::string& failure_domain) {
        return IsAuthoritativeFor(this->election, this->context.members,
                                  digest->sender, failure_domain);
      });
  this->handlers.on_outcomes(digest->outcomes);
  this->handlers.on_digest(*digest);
  // Another aggregator of this failure domain, such as one that has just
  // started, has sent its outcomes to all members itself. If they were
  // forwarded here, they would come back to it and be counted as new ones.
  const bool has_to_forward =
      this->election.role.is_aggregator &&
      IsOfAnotherDomain(this->context.members, digest->sender,
                        this->context.settings.failure_domain);
  if (has_to_forward) {
    MergeSummary(this->other_domain_outcomes, digest->outcomes);
    if (HasUrgent(digest->outcomes)) {
      this->SendDigestSoon();
    }
  }
  this->UpdateRole();
}

void DisseminationAgent::OnTick() {
  const TimePoint now = this->context.Now();
  if (!this->has_reread_records && now - this->started_at > kRereadDelay) {
    this->has_reread_records = true;
    this->feed_reader.ReadNow();
  }
  if (SuspectSilentAggregator(this->election, this->context.members, now)) {
    LogEvent(LogLevel::kWarning, "aggregator_silent",
             {{"member", FollowedAggregator(this->election)}});
  }
  this->UpdateRole();
  if (!this->context.peer_transport) {
    return;
  }
  this->SendRejoinMessages(BeginRejoinInterval(this->rejoin, this->election,
                                               this->context.members, now));
  if (this->election.role.is_aggregator) {
    const bool has_outcomes = !this->own_domain_outcomes.is_empty() ||
                              !this->other_domain_outcomes.is_empty();
    if (has_outcomes || now - this->digest_sent_at >= kMaxDigestInterval) {
      this->SendDigest();
    }
    return;
  }
  if (now - this->heartbeat_sent_at >= kHeartbeatInterval) {
    this->SendHeartbeat();
  }
}

void DisseminationAgent::UpdateRole() {
  const TimePoint now = this->context.Now();
  UpdateMemberStatus(this->context.members, this->OwnStatus(), Duration(0),
                     now);
  const std::string before = FollowedAggregator(this->election);
  const bool was_aggregator = this->election.role.is_aggregator;
  UpdateElection(this->election, this->context.members, now);
  const std::string followed = FollowedAggregator(this->election);
  if (!followed.empty() && followed != before) {
    LogEvent(LogLevel::kInfo, "aggregator",
             {{"member", followed}, {"before", before}});
  }
  const AggregationRole role = this->election.role;
  const std::size_t rank = RankOfCandidate(this->election, this->election.name);
  if (rank != this->reported_rank) {
    this->reported_rank = rank;
    this->handlers.on_rank_change();
  }
  // The followers of this instance may not know the aggregator that has
  // returned and is followed from now on.
  if (was_aggregator && !role.is_aggregator && this->context.peer_transport &&
      this->membership_sync.has_changes()) {
    this->SendDigestToAll();
  }
  if (now - this->started_at >= kFirstRoleDelay &&
      role != this->reported_role) {
    this->reported_role = role;
    this->feed_reader.SetReadSchedule(
        role.is_aggregator ? kAggregatorReadSchedule : kMemberReadSchedule);
    this->handlers.on_role_change(role);
  }
}

void DisseminationAgent::SendHeartbeat() {
  this->heartbeat_sent_at = this->context.Now();
  this->context.peer_transport->SendToAll(
      this->AddressesOf(ListHeartbeatReceivers(this->election)), kHeartbeat,
      EncodeHeartbeat({this->OwnStatus(), FollowedAggregator(this->election)}));
}

void DisseminationAgent::SendDigest() {
  if (!this->election.role.is_aggregator || !this->context.peer_transport) {
    return;
  }
  this->SendDigestToAll();
}

void DisseminationAgent::SendDigestToAll() {
  Digest digest{.sender = this->context.settings.name};
  this->handlers.fill_digest(digest);
  const std::string& own_domain = this->context.settings.failure_domain;
  std::map<std::string, DomainView> views =
      this->membership_sync.ComputeViewsIfDue();
  if (!views.empty()) {
    digest.domains[own_domain] = views.at(own_domain);
  }
  digest.members = this->membership_sync.ChangedMembers(own_domain);
  digest.outcomes = std::exchange(this->own_domain_outcomes, {});
  SendDigestInParts(
      this->context,
      this->AddressesOf(ListOtherAggregators(
          this->election, this->context.members, this->context.Now())),
      digest);
  MergeSummary(digest.outcomes, std::exchange(this->other_domain_outcomes, {}));
  digest.members = this->membership_sync.ChangedMembers("");
  digest.domains = std::move(views);
  SendDigestInParts(this->context, this->OwnDomainAddresses(),
                    std::move(digest));
  this->membership_sync.ClearChanges();
  this->digest_sent_at = this->context.Now();
}

std::vector<std::string> DisseminationAgent::OwnDomainAddresses() const {
  return this->AddressesOf(ListOwnDomainReceivers(
      this->election, this->context.members, this->context.Now()));
}

std::vector<std::string> DisseminationAgent::AddressesOf(
    const std::vector<std::string>& names) const {
  std::vector<std::string> addresses;
  std::ranges::transform(
      names, std::back_inserter(addresses),
      [this](const std::string& name) { return this->AddressOf(name); });
  return addresses;
}

std::string DisseminationAgent::AddressOf(const std::string& name) const {
  return PeerAddressOf(this->context.members, name);
}

MemberStatus DisseminationAgent::OwnStatus() const {
  return {.record = MakeOwnMemberRecord(this->context),
          .is_ready = this->context.routing && !this->context.is_leaving,
          .is_leaving = this->context.is_leaving,
          .owned_shards = this->handlers.owned_shards()};
}

}  // namespace parsleyquay
