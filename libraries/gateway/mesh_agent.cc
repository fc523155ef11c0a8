#include "gateway/mesh_agent.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr char kHeartbeat[] = "heartbeat";
constexpr char kOutcome[] = "outcome";
constexpr char kUnserved[] = "unserved";

// Successful outcomes are shared within 250 ms, failures at once.
constexpr Duration kTickInterval = milliseconds(250);
constexpr Duration kUrgentDelay = milliseconds(5);
constexpr Duration kMaxDigestInterval = milliseconds(500);
constexpr Duration kHeartbeatInterval = milliseconds(1'000);

// Two missed digests and a margin.
constexpr Duration kAggregatorSilence = milliseconds(1'100);

// When the whole fleet starts, all instances write their records within about a
// second. Therefore the records are read once more after that, and no instance
// assumes a role earlier. Later, members become known by heartbeats and
// digests; their records are read only in case that a whole failure domain was
// unreachable.
constexpr FollowPlan kMemberReadPlan = {.interval = seconds(60),
                                        .timeout = milliseconds(700)};
constexpr Duration kRereadDelay = milliseconds(1'200);
constexpr Duration kFirstRoleDelay = milliseconds(1'500);

// More frequent, so that aggregators which do not know each other yet become
// known to each other.
constexpr FollowPlan kAggregatorReadPlan = {.interval = seconds(5),
                                            .timeout = milliseconds(700)};

std::vector<std::string> WithOwnMethods(std::vector<std::string> methods) {
  methods.insert(methods.end(), {kHeartbeat, kOutcome, kUnserved, kDigestMethod,
                                 MemberExchange::Method()});
  return methods;
}

}  // namespace

MeshAgent::MeshAgent(GatewayContext& context,
                     std::vector<std::string> message_methods,
                     Handlers handlers)
    : context(context),
      handlers(std::move(handlers)),
      registration(
          context,
          WithOwnMethods(std::move(message_methods)),
          {.on_open = [this] { this->OnLinkOpen(); },
           .on_message =
               [this](const std::string& method, const Json::Value& value) {
                 this->OnPeerMessage(method, value);
               }}),
      membership_sync(context),
      follower(context.loop,
               "members",
               context.port.members,
               kMemberReadPlan,
               {.on_changes =
                    [this](const std::vector<MemberChange>& changes,
                           ChangeSet) { this->OnMemberChanges(changes); }}),
      tick_timer(context.loop, [this] { this->OnTick(); }),
      urgent_timer(context.loop, [this] { this->SendDigest(); }) {}

void MeshAgent::Start() {
  this->started_at = this->context.Now();
  this->follower.Start();
  this->registration.Join();
  this->tick_timer.StartRepeating(kTickInterval);
}

void MeshAgent::Announce() {
  if (!this->context.peers) {
    return;
  }
  NoteStatus(this->context.members, this->OwnStatus(), Duration(0),
             this->context.Now());
  this->SendHeartbeat();
  this->ForwardMember(this->context.settings.name);
  // Sent now, since an aggregator that leaves loses this role a moment later.
  this->SendDigest();
}

void MeshAgent::Leave(std::function<void()> on_done) {
  this->registration.Leave(std::move(on_done));
}

void MeshAgent::Report(const OutcomeReport& report) {
  if (this->has_to_collect()) {
    this->CollectOutcome(report);
    return;
  }
  this->context.peers->Send(this->AddressOf(this->aggregators.front()),
                            kOutcome, EncodeOutcome(report));
  // A successful outcome counts only when it comes back with the next digest. A
  // failure counts at once, so that no further request is sent to the server
  // before that; so does every outcome while no aggregator is heard.
  if (IsUrgent(report.outcome) || this->current_role.is_alone) {
    OutcomeSummary observed;
    AddOutcome(observed, report, this->context.Now());
    this->handlers.on_outcomes(observed);
  }
}

void MeshAgent::ReportUnserved(const std::string& service) {
  if (this->has_to_collect()) {
    this->CollectUnserved(service);
    return;
  }
  Json::Value parameters;
  parameters["s"] = service;
  this->context.peers->Send(this->AddressOf(this->aggregators.front()),
                            kUnserved, parameters);
}

bool MeshAgent::has_to_collect() const {
  return this->current_role.is_aggregator || !this->context.peers ||
         this->aggregators.empty();
}

void MeshAgent::CollectUnserved(const std::string& service) {
  OutcomeSummary observed;
  observed.unserved_by_service[service] = 1;
  this->Collect(observed);
}

void MeshAgent::Collect(const OutcomeSummary& observed) {
  this->handlers.on_outcomes(observed);
  AddSummary(this->own_domain_outcomes, observed);
}

void MeshAgent::OnLinkOpen() {
  this->UpdateRole();
  this->SendHeartbeat();
}

void MeshAgent::OnMemberChanges(const std::vector<MemberChange>& changes) {
  const TimePoint now = this->context.Now();
  for (const MemberChange& change : changes) {
    if (change.name == this->context.settings.name) {
      this->context.has_earlier_life =
          this->context.has_earlier_life ||
          (change.record &&
           change.record->incarnation != this->context.incarnation);
      continue;
    }
    if (change.record) {
      if (NoteRecord(this->context.members, *change.record, now)) {
        this->ForwardMember(change.name);
      }
      continue;
    }
    RemoveMember(this->context.members, change.name);
  }
  this->UpdateRole();
}

void MeshAgent::OnPeerMessage(const std::string& method,
                              const Json::Value& parameters) {
  if (method == kHeartbeat) {
    this->OnHeartbeat(parameters);
  } else if (method == kOutcome) {
    this->OnOutcome(parameters);
  } else if (method == kUnserved) {
    this->CollectUnserved(parameters["s"].asString());
  } else if (method == kDigestMethod) {
    this->OnDigest(parameters);
  } else if (method == MemberExchange::Method()) {
    this->membership_sync.OnQuestion(parameters);
  } else {
    this->handlers.on_message(method, parameters);
  }
}

void MeshAgent::OnHeartbeat(const Json::Value& parameters) {
  const auto heartbeat = DecodeHeartbeat(parameters);
  if (!heartbeat) {
    Count(this->context.metrics, "peer_messages_malformed");
    return;
  }
  const MemberStatus& status = heartbeat->status;
  if (NoteStatus(this->context.members, status, Duration(0),
                 this->context.Now())) {
    LogEvent(LogLevel::kInfo, "member",
             {{"member", status.record.name},
              {"incarnation", status.record.incarnation},
              {"ready", status.is_ready ? "yes" : "no"},
              {"leaving", status.is_leaving ? "yes" : "no"},
              {"duties", std::to_string(status.duties.size())}});
    this->ForwardMember(status.record.name);
  }
}

// Includes the member in the next digest, which is sent without delay. Does
// nothing on an instance that is not the aggregator.
void MeshAgent::ForwardMember(const std::string& name) {
  if (this->current_role.is_aggregator) {
    this->membership_sync.NoteChange(name);
    this->ScheduleUrgentDigest();
  }
}

void MeshAgent::OnOutcome(const Json::Value& parameters) {
  const auto report = DecodeOutcome(parameters);
  if (!report) {
    Count(this->context.metrics, "peer_messages_malformed");
    return;
  }
  this->CollectOutcome(*report);
}

void MeshAgent::CollectOutcome(const OutcomeReport& report) {
  OutcomeSummary observed;
  AddOutcome(observed, report, this->context.Now());
  this->Collect(observed);
  if (IsUrgent(report.outcome)) {
    this->ScheduleUrgentDigest();
  }
}

void MeshAgent::ScheduleUrgentDigest() {
  if (this->context.peers) {
    this->urgent_timer.StartOnce(kUrgentDelay);
  }
}

void MeshAgent::OnDigest(const Json::Value& parameters) {
  const TimePoint now = this->context.Now();
  const auto digest = DecodeDigest(parameters, now);
  if (!digest) {
    Count(this->context.metrics, "peer_messages_malformed");
    return;
  }
  Count(this->context.metrics, "digests_received");
  Count(this->context.metrics, "outcomes_told",
        CountOutcomes(digest->outcomes));
  for (const std::string& name : this->membership_sync.TakeOver(*digest)) {
    this->ForwardMember(name);
  }
  const auto sender = this->context.members.members.find(digest->sender);
  if (sender != this->context.members.members.end()) {
    sender->second.heard_at = now;
    sender->second.suspected_until = TimePoint();
  }
  const bool is_own_aggregator =
      !this->aggregators.empty() && digest->sender == this->aggregators.front();
  if (is_own_aggregator) {
    this->digest_received_at = now;
  }
  this->membership_sync.Compare(
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
    AddSummary(this->other_domain_outcomes, digest->outcomes);
    if (HasUrgent(digest->outcomes)) {
      this->ScheduleUrgentDigest();
    }
  }
  this->UpdateRole();
}

// Returns whether to compare the state of a failure domain with the digests of
// `member`. For an aggregator, that member is in the failure domain itself, and
// the domain is another one than its own. For any other instance, it is the
// aggregator of the instance's failure domain.
bool MeshAgent::is_authoritative_for(const std::string& member,
                                     const std::string& failure_domain) const {
  if (!this->current_role.is_aggregator) {
    return !this->aggregators.empty() && this->aggregators.front() == member;
  }
  const auto found = this->context.members.members.find(member);
  return found != this->context.members.members.end() &&
         found->second.status.record.failure_domain == failure_domain &&
         failure_domain != this->context.settings.failure_domain;
}

void MeshAgent::OnTick() {
  const TimePoint now = this->context.Now();
  if (!this->has_reread_records && now - this->started_at > kRereadDelay) {
    this->has_reread_records = true;
    this->follower.ReadNow();
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
  if (!this->context.peers) {
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

void MeshAgent::UpdateRole() {
  const TimePoint now = this->context.Now();
  NoteStatus(this->context.members, this->OwnStatus(), Duration(0), now);
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
  MeshRole role;
  role.is_aggregator = has_aggregator && this->aggregators.front() == name;
  role.is_standby =
      this->aggregators.size() > 1 && this->aggregators[1] == name;
  role.is_alone = !role.is_aggregator &&
                  now - this->digest_received_at > kAggregatorSilence;
  this->current_role = role;
  if (now - this->started_at >= kFirstRoleDelay &&
      role != this->announced_role) {
    this->announced_role = role;
    this->follower.SetPlan(role.is_aggregator ? kAggregatorReadPlan
                                              : kMemberReadPlan);
    this->handlers.on_role(role);
  }
}

void MeshAgent::SendHeartbeat() {
  this->heartbeat_sent_at = this->context.Now();
  constexpr std::size_t kMaxReceivers = 2;  // the aggregator and its standby
  std::vector<std::string> addresses;
  for (const std::string& member : this->aggregators) {
    if (addresses.size() < kMaxReceivers &&
        member != this->context.settings.name) {
      addresses.push_back(this->AddressOf(member));
    }
  }
  this->context.peers->SendToAll(addresses, kHeartbeat,
                                 EncodeHeartbeat({this->OwnStatus()}));
}

void MeshAgent::SendDigest() {
  if (!this->current_role.is_aggregator || !this->context.peers) {
    return;
  }
  Digest digest{.sender = this->context.settings.name};
  this->handlers.fill_digest(digest);
  const std::string& own_domain = this->context.settings.failure_domain;
  std::map<std::string, DomainView> views =
      this->membership_sync.TakeDueViews();
  if (!views.empty()) {
    digest.domains[own_domain] = views.at(own_domain);
  }
  digest.members = this->membership_sync.Changed(own_domain);
  digest.outcomes = std::exchange(this->own_domain_outcomes, {});
  SendInParts(this->context, this->OtherAggregatorAddresses(), digest);
  AddSummary(digest.outcomes, std::exchange(this->other_domain_outcomes, {}));
  digest.members = this->membership_sync.Changed("");
  digest.domains = std::move(views);
  SendInParts(this->context, this->OwnDomainAddresses(), std::move(digest));
  this->membership_sync.ForgetChanges();
  this->digest_sent_at = this->context.Now();
}

std::vector<std::string> MeshAgent::OwnDomainAddresses() const {
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

std::vector<std::string> MeshAgent::OtherAggregatorAddresses() const {
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

std::string MeshAgent::AddressOf(const std::string& name) const {
  return PeerAddressOf(this->context.members, name);
}

MemberStatus MeshAgent::OwnStatus() const {
  return {.record = DescribeOwnInstance(this->context),
          .is_ready = this->context.routing && !this->context.is_leaving,
          .is_leaving = this->context.is_leaving,
          .duties = this->handlers.duties()};
}

}  // namespace parsleyquay
