#include "gateway/mesh_agent.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "base/random_id.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr char kHeartbeat[] = "heartbeat";
constexpr char kOutcome[] = "outcome";
constexpr char kUnserved[] = "unserved";
constexpr char kDigest[] = "digest";
constexpr char kMembersWanted[] = "members_wanted";

// Good outcomes are shared within 250 ms, failures at once.
constexpr Duration kTick = milliseconds(250);
constexpr Duration kUrgentDelay = milliseconds(5);
constexpr Duration kLongestDigestGap = milliseconds(500);
constexpr Duration kHeartbeatInterval = milliseconds(1'000);

// Six of them go into the limit of a member's silence, so some may be lost.
constexpr Duration kDomainsInterval = milliseconds(500);

// An answer to one member may be 30 KB; at most 2 Mbit/s go to answers of a
// fleet of 121, a fifth of the smallest link.
constexpr Duration kAnswerGap = milliseconds(50);

// About 100 bytes each: a digest stays far below the largest datagram.
constexpr std::size_t kMostMembers = 60;

// Two missed digests and a margin.
constexpr Duration kAggregatorSilence = milliseconds(1'100);

constexpr Duration kSecretRetry = milliseconds(700);
constexpr std::size_t kSecretBytes = 32;

// At start all instances write their records within about a second, so they are
// read once more after that, and nobody acts on a role before. Later, members
// are heard of by heartbeats; their records are read only in case that a whole
// failure domain has been out of hearing.
constexpr FollowPlan kMemberPlan = {.interval = seconds(60),
                                    .timeout = milliseconds(700)};
constexpr Duration kStartTime = milliseconds(1'200);
constexpr Duration kRoleTime = milliseconds(1'500);

// Aggregators that have not heard of each other find each other so.
constexpr FollowPlan kAggregatorMemberPlan = {.interval = seconds(5),
                                              .timeout = milliseconds(700)};

std::vector<std::string> WithOwnMethods(std::vector<std::string> methods) {
  methods.insert(methods.end(),
                 {kHeartbeat, kOutcome, kUnserved, kDigest, kMembersWanted});
  return methods;
}

}  // namespace

MeshAgent::MeshAgent(GatewayContext& context,
                     std::vector<std::string> message_methods,
                     Handlers handlers)
    : context(context),
      message_methods(std::move(message_methods)),
      handlers(std::move(handlers)),
      follower(context.loop,
               "members",
               context.port.members,
               kMemberPlan,
               {.on_changes =
                    [this](const std::vector<MemberChange>& changes,
                           ChangeSet) { this->OnMemberChanges(changes); }}),
      tick_timer(context.loop, [this] { this->OnTick(); }),
      urgent_timer(context.loop, [this] { this->SendDigest(); }),
      retry_timer(context.loop, [this] { this->AgreeOnSecret(); }),
      answer_timer(context.loop, [this] { this->AnswerQuestion(); }) {}

void MeshAgent::Start() {
  this->started_at = this->context.Now();
  this->follower.Start();
  this->AgreeOnSecret();
  this->tick_timer.StartRepeating(kTick);
}

void MeshAgent::Announce() {
  if (!this->context.peers) {
    return;
  }
  NoteStatus(this->context.members, this->OwnStatus(), Duration(0),
             this->context.Now());
  this->SendHeartbeat();
  this->PassOnMember(this->context.settings.name);
  // At once: one that leaves is no aggregator any more a moment later.
  this->SendDigest();
}

void MeshAgent::Leave(std::function<void()> on_done) {
  this->context.port.publish_member(
      {this->context.settings.name, std::nullopt},
      [on_done = std::move(on_done)](PublishOutcome) { on_done(); });
}

void MeshAgent::Report(const OutcomeReport& report) {
  if (this->collects_itself()) {
    this->CollectOutcome(report);
    return;
  }
  this->context.peers->Send(this->AddressOf(this->aggregators.front()),
                            kOutcome, EncodeOutcome(report));
  // A good outcome comes back with the next digest and counts only then; a
  // failure must not draw another request before that.
  if (IsUrgent(report.outcome) || this->current_role.is_alone) {
    OutcomeSummary own;
    AddOutcome(own, report, this->context.Now());
    this->handlers.on_outcomes(own);
  }
}

void MeshAgent::ReportUnserved(const std::string& service) {
  if (this->collects_itself()) {
    this->CollectUnserved(service);
    return;
  }
  Json::Value parameters;
  parameters["s"] = service;
  this->context.peers->Send(this->AddressOf(this->aggregators.front()),
                            kUnserved, parameters);
}

bool MeshAgent::collects_itself() const {
  return this->current_role.is_aggregator || !this->context.peers ||
         this->aggregators.empty();
}

void MeshAgent::CollectUnserved(const std::string& service) {
  OutcomeSummary seen;
  seen.unserved_by_service[service] = 1;
  this->handlers.on_outcomes(seen);
  AddSummary(this->own_domain_outcomes, seen);
}

void MeshAgent::AgreeOnSecret() {
  this->context.port.agree_on_secret(
      RandomHex(kSecretBytes), [this](std::optional<std::string> secret) {
        if (!secret) {
          this->retry_timer.StartOnce(kSecretRetry);
          return;
        }
        this->OpenLink(*secret);
        this->PublishRecord();
      });
}

void MeshAgent::OpenLink(const std::string& secret) {
  const bool is_open = RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(
            this->context.peers,
            PeerLink::Create(
                this->context.loop, this->context.settings.peer_address, secret,
                WithOwnMethods(this->message_methods),
                [this](const std::string& method, const Json::Value& value) {
                  this->OnPeerMessage(method, value);
                }));
        return {};
      },
      [](const Error& error) { LogError("peers_unavailable", error); });
  if (is_open) {
    LogEvent(LogLevel::kInfo, "peers_ready",
             {{"address", this->context.settings.peer_address}});
    this->UpdateRole();
    this->SendHeartbeat();
  }
}

void MeshAgent::PublishRecord() {
  this->context.port.publish_member(
      {this->context.settings.name, this->OwnRecord()},
      [this](PublishOutcome outcome) {
        if (outcome != PublishOutcome::kDone && !this->context.is_leaving) {
          this->retry_timer.StartOnce(kSecretRetry);
        }
      });
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
      NoteRecord(this->context.members, *change.record, now);
      this->PassOnMember(change.name);
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
  } else if (method == kDigest) {
    this->OnDigest(parameters);
  } else if (method == kMembersWanted) {
    this->OnQuestion(parameters);
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
    this->PassOnMember(status.record.name);
  }
}

// Names the member with the next digest, which is sent at once.
void MeshAgent::PassOnMember(const std::string& name) {
  if (this->current_role.is_aggregator) {
    this->news.changed.insert(name);
    this->ScheduleUrgentDigest();
  }
}

void MeshAgent::OnQuestion(const Json::Value& parameters) {
  const auto question = DecodeQuestion(parameters);
  if (!question) {
    Count(this->context.metrics, "peer_messages_malformed");
    return;
  }
  if (this->news.questions.empty()) {
    this->answer_timer.StartOnce(kAnswerGap);
  }
  this->news.questions[question->sender].insert(question->domains.begin(),
                                                question->domains.end());
}

void MeshAgent::AnswerQuestion() {
  const auto question =
      this->news.questions.extract(this->news.questions.begin());
  const std::string address = this->AddressOf(question.key());
  if (!address.empty()) {
    Count(this->context.metrics, "member_lists_sent");
    this->SendInParts({address}, {.sender = this->context.settings.name,
                                  .members = DescribeDomains(
                                      this->context.members, question.mapped(),
                                      this->context.Now())});
  }
  if (!this->news.questions.empty()) {
    this->answer_timer.StartOnce(kAnswerGap);
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
  const TimePoint now = this->context.Now();
  OutcomeSummary seen;
  AddOutcome(seen, report, now);
  this->handlers.on_outcomes(seen);
  AddSummary(this->own_domain_outcomes, seen);
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
  this->NoteMembers(*digest);
  const auto sender = this->context.members.members.find(digest->sender);
  if (sender != this->context.members.members.end()) {
    sender->second.heard_at = now;
    sender->second.suspected_until = TimePoint();
  }
  const bool is_own_aggregator =
      !this->aggregators.empty() && digest->sender == this->aggregators.front();
  if (is_own_aggregator) {
    this->digest_at = now;
  }
  this->NoteDomains(*digest);
  this->handlers.on_outcomes(digest->outcomes);
  this->handlers.on_digest(*digest);
  if (this->current_role.is_aggregator) {
    AddSummary(this->other_domain_outcomes, digest->outcomes);
    if (HasUrgent(digest->outcomes)) {
      this->ScheduleUrgentDigest();
    }
  }
  this->UpdateRole();
}

void MeshAgent::NoteMembers(const Digest& digest) {
  for (const DigestMember& member : digest.members) {
    const std::string& name = member.status.record.name;
    if (name != this->context.settings.name &&
        NoteStatus(this->context.members, member.status, member.age,
                   this->context.Now())) {
      this->PassOnMember(name);
    }
  }
}

void MeshAgent::NoteDomains(const Digest& digest) {
  MembersQuestion question{.sender = this->context.settings.name};
  for (const auto& [domain, view] : digest.domains) {
    if (this->speaks_for(digest.sender, domain) &&
        NoteDomainView(this->news, this->context.members, domain, view,
                       this->context.Now())) {
      question.domains.push_back(domain);
    }
  }
  if (!question.domains.empty() && this->context.peers) {
    Count(this->context.metrics, "member_lists_wanted");
    this->context.peers->Send(this->AddressOf(digest.sender), kMembersWanted,
                              EncodeQuestion(question));
  }
}

// Aggregators hear of each failure domain from its own aggregator, and the
// members of a domain of all from theirs.
bool MeshAgent::speaks_for(const std::string& member,
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
  NoteStatus(this->context.members, this->OwnStatus(), Duration(0), now);
  if (!this->has_read_again && now - this->started_at > kStartTime) {
    this->has_read_again = true;
    this->follower.ReadNow();
  }
  const bool is_first_silent =
      !this->aggregators.empty() &&
      this->aggregators.front() != this->context.settings.name &&
      now - std::max(this->digest_at, this->first_since) > kAggregatorSilence;
  if (is_first_silent) {
    LogEvent(LogLevel::kWarning, "aggregator_silent",
             {{"member", this->aggregators.front()}});
    SuspectMember(this->context.members, this->aggregators.front(), now);
  }
  this->UpdateRole();
  if (!this->context.peers) {
    return;
  }
  if (this->current_role.is_aggregator) {
    const bool has_news = !this->own_domain_outcomes.is_empty() ||
                          !this->other_domain_outcomes.is_empty();
    if (has_news || now - this->digest_sent_at >= kLongestDigestGap) {
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
  const bool has_first = !this->aggregators.empty();
  if (has_first && this->aggregators.front() != before) {
    this->first_since = now;
    LogEvent(LogLevel::kInfo, "aggregator",
             {{"member", this->aggregators.front()}, {"before", before}});
  }
  MeshRole role;
  role.is_aggregator = has_first && this->aggregators.front() == name;
  role.is_standby =
      this->aggregators.size() > 1 && this->aggregators[1] == name;
  role.is_alone =
      !role.is_aggregator && now - this->digest_at > kAggregatorSilence;
  this->current_role = role;
  if (now - this->started_at >= kRoleTime && role != this->announced_role) {
    this->announced_role = role;
    this->follower.SetPlan(role.is_aggregator ? kAggregatorMemberPlan
                                              : kMemberPlan);
    this->handlers.on_role(role);
  }
}

void MeshAgent::SendHeartbeat() {
  this->heartbeat_sent_at = this->context.Now();
  constexpr std::size_t kReceivers = 2;  // the aggregator and its standby
  std::vector<std::string> addresses;
  for (const std::string& member : this->aggregators) {
    if (addresses.size() < kReceivers &&
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
  const TimePoint now = this->context.Now();
  Digest digest{.sender = this->context.settings.name};
  this->handlers.fill_digest(digest);
  const std::string& own_domain = this->context.settings.failure_domain;
  const bool is_domains_due = now - this->domains_sent_at >= kDomainsInterval;
  if (is_domains_due) {
    this->domains_sent_at = now;
    NoteSilentMembers(this->news, this->context.members, now);
    digest.domains[own_domain] =
        ViewDomain(this->context.members, own_domain, now);
  }
  digest.members =
      DescribeChanged(this->news, this->context.members, own_domain, now);
  digest.outcomes = std::exchange(this->own_domain_outcomes, {});
  this->SendInParts(this->OtherAggregatorAddresses(), digest);
  AddSummary(digest.outcomes, std::exchange(this->other_domain_outcomes, {}));
  digest.members = DescribeChanged(this->news, this->context.members, "", now);
  if (is_domains_due) {
    digest.domains = this->AllDomainViews();
  }
  this->SendInParts(this->OwnDomainAddresses(), std::move(digest));
  this->news.changed.clear();
  this->digest_sent_at = now;
}

void MeshAgent::SendInParts(const std::vector<std::string>& addresses,
                            Digest digest) {
  for (const Digest& part : SplitMembers(std::move(digest), kMostMembers)) {
    this->context.peers->SendToAll(addresses, kDigest,
                                   EncodeDigest(part, this->context.Now()));
  }
}

std::map<std::string, DomainView> MeshAgent::AllDomainViews() const {
  std::map<std::string, DomainView> views;
  for (const std::string& domain : FailureDomains(this->context.members)) {
    views[domain] =
        ViewDomain(this->context.members, domain, this->context.Now());
  }
  return views;
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
  const auto found = this->context.members.members.find(name);
  return found == this->context.members.members.end()
             ? ""
             : found->second.status.record.peer_address;
}

MemberRecord MeshAgent::OwnRecord() const {
  const GatewaySettings& settings = this->context.settings;
  return {.name = settings.name,
          .failure_domain = settings.failure_domain,
          .request_address = settings.request_address,
          .peer_address = settings.peer_address,
          .incarnation = this->context.incarnation,
          .capacity = settings.capacity};
}

MemberStatus MeshAgent::OwnStatus() const {
  return {.record = this->OwnRecord(),
          .is_ready = this->context.routing && !this->context.is_leaving,
          .is_leaving = this->context.is_leaving,
          .duties = this->handlers.duties()};
}

}  // namespace parsleyquay
