#include "gateway/dissemination_agent.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr char kHeartbeat[] = "heartbeat";
constexpr char kOutcome[] = "outcome";
constexpr char kFailedRequest[] = "unserved";
constexpr char kServerListRequest[] = "servers_wanted";

// Successful outcomes are shared within 250 ms, failures at once.
constexpr Duration kTickInterval = milliseconds(250);
constexpr Duration kUrgentDelay = milliseconds(5);
constexpr Duration kMaxDigestInterval = milliseconds(500);

// A list of servers takes up to 50 KB. The gap limits the responses to 8
// Mbit/s, and those to a few members with short lists to much less.
constexpr Duration kServerListGap = milliseconds(50);
constexpr Duration kHeartbeatInterval = milliseconds(1'000);

// An aggregator that sends no digest for this long is suspected: two missed
// digests and a margin.
constexpr Duration kAggregatorSilence = milliseconds(1'100);

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
  methods.insert(methods.end(), {kHeartbeat, kOutcome, kFailedRequest,
                                 kDigestMethod, kServerListRequest,
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
      list_timer(context.loop, [this] { this->SendNextServerList(); }) {}

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
  this->ForwardMember(this->context.settings.name);
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
  this->context.peer_transport->Send(this->AddressOf(this->aggregators.front()),
                                     kOutcome, EncodeOutcome(report));
  // A successful outcome is applied to the estimates only when the aggregator's
  // next digest returns it. A failure is also applied at once, so that no
  // further request is sent to the server before that; so is every outcome
  // while this instance is without an aggregator.
  if (IsUrgent(report.outcome) || this->current_role.is_without_aggregator) {
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
  this->context.peer_transport->Send(this->AddressOf(this->aggregators.front()),
                                     kFailedRequest, parameters);
}

// Returns whether this instance merges outcomes itself, since it is the
// aggregator or knows none.
bool DisseminationAgent::has_to_collect() const {
  return this->current_role.is_aggregator || !this->context.peer_transport ||
         this->aggregators.empty();
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
        this->ForwardMember(change.name);
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
  } else if (method == kServerListRequest) {
    this->OnServerListRequest(parameters);
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
  if (UpdateMemberStatus(this->context.members, status, Duration(0),
                         this->context.Now())) {
    LogEvent(LogLevel::kInfo, "member",
             {{"member", status.record.name},
              {"incarnation", status.record.incarnation},
              {"ready", status.is_ready ? "yes" : "no"},
              {"leaving", status.is_leaving ? "yes" : "no"},
              {"duties", std::to_string(status.owned_shards.size())}});
    this->ForwardMember(status.record.name);
  }
}

// Includes the member in the next digest, which is sent without delay. Does
// nothing on an instance that is not the aggregator.
void DisseminationAgent::ForwardMember(const std::string& name) {
  if (this->current_role.is_aggregator) {
    this->membership_sync.MarkChanged(name);
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

void DisseminationAgent::ForwardServerList() {
  if (this->current_role.is_aggregator) {
    this->SendDigestSoon();
    return;
  }
  if (this->current_role.is_standby && this->context.peer_transport) {
    Digest digest{.sender = this->context.settings.name};
    this->handlers.fill_digest(digest);
    SendDigestInParts(this->context, this->OwnDomainAddresses(),
                      std::move(digest));
  }
}

void DisseminationAgent::RequestServerList(const std::string& member) {
  const std::string address = this->AddressOf(member);
  if (this->context.peer_transport && !address.empty()) {
    IncrementCounter(this->context.metrics, "server_lists_wanted");
    this->context.peer_transport->Send(
        address, kServerListRequest,
        EncodeServerListRequest({this->context.settings.name}));
  }
}

void DisseminationAgent::OnServerListRequest(const Json::Value& parameters) {
  const auto request = DecodeServerListRequest(parameters);
  if (!request) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  if (this->list_requesters.empty()) {
    this->list_timer.StartOnce(kServerListGap);
  }
  this->list_requesters.insert(request->sender);
}

void DisseminationAgent::SendNextServerList() {
  const auto requester =
      this->list_requesters.extract(this->list_requesters.begin());
  const std::string address = this->AddressOf(requester.value());
  Digest digest{.sender = this->context.settings.name};
  if (!address.empty() && this->handlers.add_full_server_list(digest)) {
    IncrementCounter(this->context.metrics, "server_lists_sent");
    SendDigestInParts(this->context, {address}, std::move(digest));
  }
  if (!this->list_requesters.empty()) {
    this->list_timer.StartOnce(kServerListGap);
  }
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
  for (const std::string& name : this->membership_sync.MergeMembers(*digest)) {
    this->ForwardMember(name);
  }
  const auto sender = this->context.members.members.find(digest->sender);
  if (sender != this->context.members.members.end()) {
    sender->second.last_heard_at = now;
    sender->second.suspected_until = TimePoint();
  }
  const bool is_own_aggregator =
      !this->aggregators.empty() && digest->sender == this->aggregators.front();
  if (is_own_aggregator) {
    this->digest_received_at = now;
  }
  this->membership_sync.CompareDomains(
      *digest, [&](const std::string& failure_domain) {
        return this->is_authoritative_for(digest->sender, failure_domain);
      });
  this->handlers.on_outcomes(digest->outcomes);
  this->handlers.on_digest(*digest);
  // Another aggregator of this failure domain, such as one that has just
  // started, has sent its outcomes to all members itself. If they were
  // forwarded here, they would come back to it and be counted as new ones.
  const bool has_to_forward =
      this->current_role.is_aggregator &&
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

// Returns whether this instance accepts `member` as the authority on the
// members of a failure domain. An aggregator accepts only members of that
// domain, and none for its own domain. Any other instance accepts only its own
// aggregator, for all domains.
bool DisseminationAgent::is_authoritative_for(
    const std::string& member,
    const std::string& failure_domain) const {
  if (!this->current_role.is_aggregator) {
    return !this->aggregators.empty() && this->aggregators.front() == member;
  }
  const auto found = this->context.members.members.find(member);
  return found != this->context.members.members.end() &&
         found->second.status.record.failure_domain == failure_domain &&
         failure_domain != this->context.settings.failure_domain;
}

void DisseminationAgent::OnTick() {
  const TimePoint now = this->context.Now();
  if (!this->has_reread_records && now - this->started_at > kRereadDelay) {
    this->has_reread_records = true;
    this->feed_reader.ReadNow();
  }
  const bool is_aggregator_silent =
      !this->aggregators.empty() &&
      this->aggregators.front() != this->context.settings.name &&
      now - std::max(this->digest_received_at, this->aggregator_since) >
          kAggregatorSilence;
  if (is_aggregator_silent) {
    LogEvent(LogLevel::kWarning, "aggregator_silent",
             {{"member", this->aggregators.front()}});
    SuspectMember(this->context.members, this->aggregators.front(), now);
  }
  this->UpdateRole();
  if (!this->context.peer_transport) {
    return;
  }
  if (this->current_role.is_aggregator) {
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
  const std::string before =
      this->aggregators.empty() ? "" : this->aggregators.front();
  this->aggregators = RankAggregators(
      this->context.members, this->context.settings.failure_domain, now);
  const std::string& name = this->context.settings.name;
  const bool has_aggregator = !this->aggregators.empty();
  if (has_aggregator && this->aggregators.front() != before) {
    this->aggregator_since = now;
    LogEvent(LogLevel::kInfo, "aggregator",
             {{"member", this->aggregators.front()}, {"before", before}});
  }
  AggregationRole role;
  role.is_aggregator = has_aggregator && this->aggregators.front() == name;
  role.is_standby =
      this->aggregators.size() > 1 && this->aggregators[1] == name;
  role.is_without_aggregator =
      !role.is_aggregator &&
      now - this->digest_received_at > kAggregatorSilence;
  this->current_role = role;
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
  constexpr std::size_t kMaxReceivers = 2;  // the aggregator and its standby
  std::vector<std::string> addresses;
  for (const std::string& member : this->aggregators) {
    if (addresses.size() < kMaxReceivers &&
        member != this->context.settings.name) {
      addresses.push_back(this->AddressOf(member));
    }
  }
  this->context.peer_transport->SendToAll(addresses, kHeartbeat,
                                          EncodeHeartbeat({this->OwnStatus()}));
}

void DisseminationAgent::SendDigest() {
  if (!this->current_role.is_aggregator || !this->context.peer_transport) {
    return;
  }
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
  SendDigestInParts(this->context, this->OtherAggregatorAddresses(), digest);
  MergeSummary(digest.outcomes, std::exchange(this->other_domain_outcomes, {}));
  digest.members = this->membership_sync.ChangedMembers("");
  digest.domains = std::move(views);
  SendDigestInParts(this->context, this->OwnDomainAddresses(),
                    std::move(digest));
  this->membership_sync.ClearChanges();
  this->digest_sent_at = this->context.Now();
}

std::vector<std::string> DisseminationAgent::OwnDomainAddresses() const {
  const TimePoint now = this->context.Now();
  std::vector<std::string> addresses;
  for (const auto& [name, entry] : this->context.members.members) {
    const MemberRecord& record = entry.status.record;
    if (name != this->context.settings.name && IsAlive(entry, now) &&
        record.failure_domain == this->context.settings.failure_domain) {
      addresses.push_back(record.peer_address);
    }
  }
  return addresses;
}

std::vector<std::string> DisseminationAgent::OtherAggregatorAddresses() const {
  const TimePoint now = this->context.Now();
  std::set<std::string> domains = FailureDomains(this->context.members);
  domains.erase(this->context.settings.failure_domain);
  std::vector<std::string> addresses;
  for (const std::string& domain : domains) {
    const auto ranked = RankAggregators(this->context.members, domain, now);
    if (!ranked.empty()) {
      addresses.push_back(this->AddressOf(ranked.front()));
    }
  }
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
