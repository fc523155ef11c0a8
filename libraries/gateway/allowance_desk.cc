#include "gateway/allowance_desk.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "base/rendezvous.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// Methods of messages between instances.
constexpr char kTokenRequest[] = "allowance_ask";
constexpr char kTokenReply[] = "allowance_grant";

// How long an assignment of shards stays valid without renewal. Longer than
// most outages of the store, and shorter than clients tolerate that nobody owns
// the shard of their workspace.
constexpr Duration kAssignmentLifetime = seconds(5);
constexpr Duration kRenewInterval = milliseconds(600);
constexpr Duration kEarlyRenewDelay = milliseconds(40);
constexpr Duration kParticipationInterval = milliseconds(250);

// With two candidates in each failure domain, one of them may fail in every
// domain and the shards still have owners.
constexpr std::ptrdiff_t kCandidatesPerDomain = 2;

// All members have discovered each other by then.
constexpr Duration kStartTime = seconds(3);
// An owner stops granting tokens this long before the store may assign its
// shards to other members.
constexpr Duration kAssignmentMargin = milliseconds(200);

// A datagram takes a few milliseconds to any instance. The second attempt makes
// up for one lost datagram.
constexpr Duration kReplyTimeout = milliseconds(70);
constexpr int kMaxSendAttempts = 2;

// Interval at which a request without a reachable owner looks for one again.
constexpr Duration kOwnerRetryInterval = milliseconds(100);

// Short, since another instance may reach the owner or have a part of its
// fallback share left.
constexpr Duration kFallbackRetryAfter = milliseconds(200);

// Values on the wire.
enum ReplyCode { kDenied, kGranted, kNotOwner };

}  // namespace

std::string_view AllowanceSourceName(AllowanceSource source) {
  switch (source) {
    case AllowanceSource::kNoLimit:
      return "no_limit";
    case AllowanceSource::kOwnHome:
      return "own_home";
    case AllowanceSource::kPeerHome:
      return "peer_home";
    case AllowanceSource::kSpare:
      return "spare";
  }
  return "unknown";
}

AllowanceDesk::AllowanceDesk(GatewayContext& context,
                             std::function<void()> on_ownership_change)
    : context(context),
      on_ownership_change(std::move(on_ownership_change)),
      renew_timer(context.loop, [this] { this->RenewAssignment(); }),
      participation_timer(context.loop,
                          [this] { this->UpdateParticipation(); }) {}

void AllowanceDesk::Start() {
  this->started_at = this->context.Now();
  this->participation_timer.StartRepeating(kParticipationInterval);
}

void AllowanceDesk::UpdateParticipation() {
  const bool took_part = this->eligibility.takes_part;
  const DutyStanding standing = this->OwnStanding();
  UpdateEligibility(this->eligibility, standing, this->context.Now());
  const bool takes_part = this->eligibility.takes_part;
  if (takes_part && !took_part) {
    this->has_resolved_previous_assignment = true;
    this->RenewAssignment();
  } else if (!takes_part && took_part) {
    this->ReleaseAssignment();
  } else if (takes_part && this->has_unowned_shard()) {
    // Its owner has left, so it may have been assigned to this instance.
    this->RenewAssignment();
  }
  // Shards assigned to an earlier incarnation of this process would have no
  // owner until that assignment expires.
  if (!standing.is_candidate && !this->has_resolved_previous_assignment) {
    this->has_resolved_previous_assignment = true;
    this->context.port.duties.leave(this->context.settings.name, [] {});
  }
}

DutyStanding AllowanceDesk::OwnStanding() const {
  const TimePoint now = this->context.Now();
  const MemberTable& members = this->context.members;
  const auto ranked =
      RankMembers(members, this->context.settings.failure_domain, now);
  const auto own = std::ranges::find(ranked, this->context.settings.name);
  return {.is_candidate = own != ranked.end() &&
                          own - ranked.begin() < kCandidatesPerDomain,
          .hears_most = HearsMost(members, now),
          .has_started_lately = !this->context.has_earlier_life &&
                                now - this->started_at < kStartTime};
}

bool AllowanceDesk::has_unowned_shard() const {
  for (long shard = 0; shard < this->context.port.duties.duty_count; ++shard) {
    if (!this->IsOwned(shard) && !this->OwnerAddressOf(shard)) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> AllowanceDesk::Methods() {
  return {kTokenRequest, kTokenReply};
}

void AllowanceDesk::Ask(const std::string& workspace,
                        Duration max_token_wait,
                        Duration max_owner_wait,
                        OnVerdict on_decision) {
  if (!this->TermsOf(workspace).has_limit()) {
    on_decision({true, AllowanceSource::kNoLimit});
    return;
  }
  const long shard = this->ShardOf(workspace);
  if (this->IsOwned(shard)) {
    this->DecideLocally(workspace, max_token_wait, std::move(on_decision));
    return;
  }
  const std::uint64_t id = this->next_request_id++;
  PendingRequest& request = this->pending_requests[id];
  request.workspace = workspace;
  request.max_token_wait = max_token_wait;
  request.on_decision = std::move(on_decision);
  request.owner_deadline = this->context.Now() + max_owner_wait;
  this->SendTokenRequest(id);
}

void AllowanceDesk::OnMessage(const std::string& method,
                              const Json::Value& parameters) {
  if (method == kTokenRequest) {
    this->OnTokenRequest(parameters);
    return;
  }
  this->OnTokenReply(parameters);
}

void AllowanceDesk::OnConfiguration() {
  const TimePoint now = this->context.Now();
  for (const auto& [name, terms] :
       this->context.routing->configuration().workspaces) {
    if (terms.has_limit() && this->IsOwned(this->ShardOf(name))) {
      BeginMetering(this->token_buckets, name, now);
    }
  }
}

std::vector<long> AllowanceDesk::HeldDuties() const {
  return this->context.Now() < this->assigned_until ? this->assignment.duties
                                                    : std::vector<long>();
}

void AllowanceDesk::Leave() {
  this->participation_timer.Stop();
  this->eligibility = {};
  this->ReleaseAssignment();
}

void AllowanceDesk::ReleaseAssignment() {
  this->renew_timer.Stop();
  if (!this->assignment.duties.empty()) {
    LogEvent(LogLevel::kInfo, "duties_handed_back",
             {{"generation", std::to_string(this->assignment.generation)}});
  }
  this->assignment = {};
  this->assigned_until = TimePoint();
  this->token_buckets = {};
  this->context.port.duties.leave(this->context.settings.name, [] {});
}

void AllowanceDesk::RenewAssignment() {
  const TimePoint sent_at = this->context.Now();
  const Duration lifetime =
      std::max(kAssignmentLifetime, this->context.settings.shortest_lease);
  this->renew_timer.StartOnce(kRenewInterval);
  this->context.port.duties.renew(
      this->context.settings.name, lifetime, this->assignment.generation,
      [this, sent_at, lifetime](std::optional<DutyAssignment> assigned) {
        this->OnAssignment(std::move(assigned), sent_at, lifetime);
      });
}

void AllowanceDesk::OnAssignment(std::optional<DutyAssignment> assigned,
                                 TimePoint sent_at,
                                 Duration lifetime) {
  if (!assigned || !this->eligibility.takes_part) {
    return;
  }
  const std::vector<long> before = this->HeldDuties();
  const bool is_new_generation =
      assigned->generation != this->assignment.generation;
  this->assignment = std::move(*assigned);
  this->assigned_until = sent_at + lifetime - kAssignmentMargin;
  // Workspaces of shards that were not owned without interruption start with
  // empty buckets.
  std::erase_if(this->token_buckets.buckets, [&](const auto& bucket) {
    const long shard = this->ShardOf(bucket.first);
    return std::ranges::find(before, shard) == before.end() ||
           !this->IsOwned(shard);
  });
  if (this->context.routing) {
    this->OnConfiguration();
  }
  if (this->HeldDuties() != before) {
    this->on_ownership_change();
  }
  if (is_new_generation) {
    LogEvent(LogLevel::kInfo, "duties_dealt",
             {{"generation", std::to_string(this->assignment.generation)},
              {"duties", std::to_string(this->assignment.duties.size())}});
    // Other members receive the shards that this instance has lost only after
    // the next renewal acknowledges the new generation.
    this->renew_timer.StartOnce(kEarlyRenewDelay);
  }
}

long AllowanceDesk::ShardOf(const std::string& workspace) const {
  const long count = std::max(1L, this->context.port.duties.duty_count);
  return static_cast<long>(RendezvousWeight("allowance", workspace) %
                           static_cast<std::uint64_t>(count));
}

bool AllowanceDesk::IsOwned(long shard) const {
  return this->context.Now() < this->assigned_until &&
         std::ranges::find(this->assignment.duties, shard) !=
             this->assignment.duties.end();
}

std::optional<std::string> AllowanceDesk::OwnerAddressOf(long shard) const {
  const TimePoint now = this->context.Now();
  const MemberEntry* newest = nullptr;
  for (const auto& [name, entry] : this->context.members.members) {
    const bool is_owner = name != this->context.settings.name &&
                          IsAlive(entry, now) &&
                          std::ranges::find(entry.status.duties, shard) !=
                              entry.status.duties.end();
    if (is_owner && (!newest || newest->heard_at < entry.heard_at)) {
      newest = &entry;
    }
  }
  return newest ? std::optional(newest->status.record.peer_address)
                : std::nullopt;
}

AllowanceVerdict AllowanceDesk::DecideByFallbackShare(
    const std::string& workspace) {
  const AllowanceTolerance& tolerance = this->context.settings.bounds.allowance;
  const long share = SpareRequests(
      this->TermsOf(workspace), tolerance,
      RankOfMember(this->context.members, this->context.settings.name),
      this->context.member_count());
  const bool is_granted = TakeSpare(this->fallback_uses[workspace], share,
                                    tolerance.window, this->context.Now());
  return {is_granted, AllowanceSource::kSpare, kFallbackRetryAfter};
}

void AllowanceDesk::DecideLocally(const std::string& workspace,
                                  Duration max_token_wait,
                                  OnVerdict on_decision) {
  const AllowanceAnswer result =
      TakeToken(this->token_buckets, workspace, this->TermsOf(workspace),
                max_token_wait, this->context.Now());
  if (!result.is_granted || result.retry_after <= Duration(0)) {
    on_decision(
        {result.is_granted, AllowanceSource::kOwnHome, result.retry_after});
    return;
  }
  const std::uint64_t id = this->next_request_id++;
  this->pending_requests[id].on_decision = std::move(on_decision);
  this->GrantAfter(id, result.retry_after, AllowanceSource::kOwnHome);
}

void AllowanceDesk::SendTokenRequest(std::uint64_t id) {
  PendingRequest& request = this->pending_requests.at(id);
  const auto address = this->OwnerAddressOf(this->ShardOf(request.workspace));
  if (!this->context.peers || !address) {
    this->OnOwnerUnreachable(id);
    return;
  }
  ++request.send_attempts;
  Json::Value parameters;
  parameters["f"] = this->context.settings.peer_address;
  parameters["i"] = Json::UInt64(id);
  parameters["w"] = request.workspace;
  parameters["p"] = Json::Int64(ToMilliseconds(request.max_token_wait));
  this->context.peers->Send(*address, kTokenRequest, parameters);
  request.timer = std::make_unique<Timer>(
      this->context.loop, [this, id] { this->OnReplyTimeout(id); });
  request.timer->StartOnce(kReplyTimeout);
}

void AllowanceDesk::OnReplyTimeout(std::uint64_t id) {
  const auto found = this->pending_requests.find(id);
  if (found == this->pending_requests.end()) {
    return;
  }
  if (found->second.send_attempts < kMaxSendAttempts) {
    this->SendTokenRequest(id);
    return;
  }
  Count(this->context.metrics, "allowance_asks_unanswered");
  this->OnOwnerUnreachable(id);
}

// Decides by the fallback share. If it is used up, waits for an owner until the
// request's owner deadline; after a restart of all instances, for example, the
// shards have no owners at first.
void AllowanceDesk::OnOwnerUnreachable(std::uint64_t id) {
  PendingRequest& request = this->pending_requests.at(id);
  const AllowanceVerdict decision =
      this->DecideByFallbackShare(request.workspace);
  if (decision.is_granted || this->context.Now() >= request.owner_deadline) {
    this->Complete(id, decision);
    return;
  }
  request.send_attempts = 0;
  request.timer = std::make_unique<Timer>(
      this->context.loop, [this, id] { this->RetryTokenRequest(id); });
  request.timer->StartOnce(kOwnerRetryInterval);
}

void AllowanceDesk::RetryTokenRequest(std::uint64_t id) {
  PendingRequest& request = this->pending_requests.at(id);
  if (!this->IsOwned(this->ShardOf(request.workspace))) {
    this->SendTokenRequest(id);
    return;
  }
  const std::string workspace = request.workspace;
  const Duration max_token_wait = request.max_token_wait;
  OnVerdict on_decision = std::move(request.on_decision);
  this->pending_requests.erase(id);
  this->DecideLocally(workspace, max_token_wait, std::move(on_decision));
}

void AllowanceDesk::OnTokenRequest(const Json::Value& parameters) {
  const std::string workspace = parameters["w"].asString();
  Json::Value reply;
  reply["i"] = parameters["i"];
  reply["r"] = 0;
  if (!this->context.routing || !this->IsOwned(this->ShardOf(workspace))) {
    reply["g"] = kNotOwner;
  } else if (!this->TermsOf(workspace).has_limit()) {
    reply["g"] = kGranted;
  } else {
    const AllowanceAnswer result =
        TakeToken(this->token_buckets, workspace, this->TermsOf(workspace),
                  milliseconds(parameters["p"].asInt64()), this->context.Now());
    reply["g"] = result.is_granted ? kGranted : kDenied;
    reply["r"] = Json::Int64(result.retry_after.count());
  }
  this->context.peers->Send(parameters["f"].asString(), kTokenReply, reply);
}

void AllowanceDesk::OnTokenReply(const Json::Value& parameters) {
  const std::uint64_t id = parameters["i"].asUInt64();
  const auto found = this->pending_requests.find(id);
  if (found == this->pending_requests.end()) {
    return;
  }
  const Duration delay(parameters["r"].asInt64());
  switch (parameters["g"].asInt()) {
    case kGranted:
      this->GrantAfter(id, delay, AllowanceSource::kPeerHome);
      return;
    case kNotOwner:
      this->OnOwnerUnreachable(id);
      return;
    default:
      this->Complete(id, {false, AllowanceSource::kPeerHome, delay});
  }
}

void AllowanceDesk::GrantAfter(std::uint64_t id,
                               Duration delay,
                               AllowanceSource source) {
  if (delay <= Duration(0)) {
    this->Complete(id, {true, source});
    return;
  }
  PendingRequest& request = this->pending_requests.at(id);
  request.timer =
      std::make_unique<Timer>(this->context.loop, [this, id, source] {
        this->Complete(id, {true, source});
      });
  request.timer->StartOnce(delay);
}

void AllowanceDesk::Complete(std::uint64_t id,
                             const AllowanceVerdict& decision) {
  const auto found = this->pending_requests.find(id);
  const OnVerdict on_decision = std::move(found->second.on_decision);
  // This may run in the callback of the timer, which therefore has to live
  // until the function returns.
  const std::shared_ptr<Timer> timer = std::move(found->second.timer);
  this->pending_requests.erase(found);
  on_decision(decision);
}

const WorkspaceTerms& AllowanceDesk::TermsOf(
    const std::string& workspace) const {
  return WorkspaceTermsOf(this->context.routing->configuration(), workspace);
}

}  // namespace parsleyquay
