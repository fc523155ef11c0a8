#include "gateway/workspace_rate_limiter.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>

#include "base/rendezvous.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// Methods of messages between instances.
constexpr char kTokenRequest[] = "allowance_ask";
constexpr char kTokenReply[] = "allowance_grant";

// Longer than most outages of the store, and shorter than the time for which
// clients tolerate that the shard of their workspace has no owner.
constexpr Duration kShardLeaseDuration = seconds(5);
constexpr Duration kRenewInterval = milliseconds(600);
constexpr Duration kEarlyRenewDelay = milliseconds(40);
constexpr Duration kEligibilityInterval = milliseconds(250);

// Shards keep an owner even if one candidate fails in every failure domain.
constexpr std::ptrdiff_t kCandidatesPerDomain = 2;

// An instance counts as recently started for this long. Afterwards all members
// have discovered each other.
constexpr Duration kStartupPeriod = seconds(3);

// A datagram takes a few milliseconds to any instance. The second attempt makes
// up for one lost datagram.
constexpr Duration kReplyTimeout = milliseconds(70);
constexpr int kMaxSendAttempts = 2;

// Interval at which an owner is looked for again on behalf of a waiting
// request.
constexpr Duration kOwnerRetryInterval = milliseconds(100);

// Short, since another instance may reach the owner or have a part of its
// fallback quota left.
constexpr Duration kFallbackRetryAfter = milliseconds(200);

// Values on the wire.
enum ReplyCode { kDenied, kGranted, kNotOwner };

}  // namespace

std::string_view RateLimitSourceName(RateLimitSource source) {
  switch (source) {
    case RateLimitSource::kNoLimit:
      return "no_limit";
    case RateLimitSource::kLocalOwner:
      return "own_home";
    case RateLimitSource::kRemoteOwner:
      return "peer_home";
    case RateLimitSource::kFallbackQuota:
      return "spare";
  }
  return "unknown";
}

WorkspaceRateLimiter::WorkspaceRateLimiter(
    GatewayContext& context,
    std::function<void()> on_ownership_change)
    : context(context),
      on_ownership_change(std::move(on_ownership_change)),
      renew_timer(context.loop, [this] { this->RenewShardLease(); }),
      eligibility_timer(context.loop,
                        [this] { this->UpdateEligibilityAndLease(); }) {
  context.coordination.era->Watch(
      [this](std::uint64_t era) { this->OnNewEra(era); });
}

void WorkspaceRateLimiter::Start() {
  this->started_at = this->context.Now();
  this->eligibility_timer.StartRepeating(kEligibilityInterval);
}

void WorkspaceRateLimiter::UpdateEligibilityAndLease() {
  this->GiveUpSupersededShards();
  const bool was_eligible = this->eligibility.is_eligible;
  const ShardOwnerConditions conditions = this->OwnConditions();
  UpdateEligibility(this->eligibility, conditions, this->context.Now());
  const bool is_eligible = this->eligibility.is_eligible;
  if (is_eligible && !was_eligible) {
    this->has_resolved_previous_lease = true;
    this->RenewShardLease();
  } else if (!is_eligible && was_eligible) {
    this->ReleaseShardLease();
  } else if (is_eligible && this->has_unowned_shard()) {
    // Its owner has left, so it may have been assigned to this instance.
    this->RenewShardLease();
  }
  // Shards assigned to an earlier incarnation of this process would have no
  // owner until that assignment expires.
  if (!conditions.is_candidate && !this->has_resolved_previous_lease &&
      this->context.has_previous_incarnation) {
    this->has_resolved_previous_lease = true;
    this->context.coordination.shard_group.leave(this->context.settings.name,
                                                 [] {});
  }
}

ShardOwnerConditions WorkspaceRateLimiter::OwnConditions() const {
  const TimePoint now = this->context.Now();
  const MemberTable& members = this->context.members;
  const auto ranked =
      RankMembers(members, this->context.settings.failure_domain, now);
  const auto own = std::ranges::find(ranked, this->context.settings.name);
  return {.is_candidate = own != ranked.end() &&
                          own - ranked.begin() < kCandidatesPerDomain,
          .is_at_least_half_alive = IsAtLeastHalfAlive(members, now),
          .has_started_recently = !this->context.has_previous_incarnation &&
                                  now - this->started_at < kStartupPeriod};
}

bool WorkspaceRateLimiter::has_unowned_shard() const {
  return this->CountShardsWithoutOwner() > 0;
}

std::uint64_t WorkspaceRateLimiter::CountShardsWithoutOwner() const {
  const auto shards = std::views::iota(
      0L, std::max(0L, this->context.coordination.shard_group.shard_count));
  return static_cast<std::uint64_t>(
      std::ranges::count_if(shards, [this](long shard) {
        return !IsAssigned(this->ownership, shard, this->context.Now()) &&
               !this->OwnerAddressOf(shard);
      }));
}

std::vector<std::string> WorkspaceRateLimiter::MessageMethods() {
  return {kTokenRequest, kTokenReply};
}

void WorkspaceRateLimiter::RequestToken(const TokenRequest& request,
                                        OnDecision on_decision) {
  if (!this->ConfigurationOf(request.workspace).has_rate_limit()) {
    on_decision({true, RateLimitSource::kNoLimit});
    return;
  }
  const long shard = this->ShardOf(request.workspace);
  if (this->IsOwned(shard)) {
    this->RecordOwnerState(shard, ShardOwnerState::kReached);
    this->DecideLocally(request, std::move(on_decision));
    return;
  }
  const std::uint64_t id = this->next_request_id++;
  PendingRequest& pending = this->pending_requests[id];
  pending.token = request;
  pending.on_decision = std::move(on_decision);
  pending.owner_deadline = this->context.Now() + request.max_owner_wait;
  this->SendTokenRequest(id);
}

void WorkspaceRateLimiter::OnMessage(const std::string& method,
                                     const Json::Value& parameters) {
  if (method == kTokenRequest) {
    this->OnTokenRequest(parameters);
    return;
  }
  this->OnTokenReply(parameters);
}

void WorkspaceRateLimiter::OnConfigurationChange() {
  const TimePoint now = this->context.Now();
  for (const auto& [name, configuration] :
       this->context.routing->configuration().workspaces) {
    if (configuration.has_rate_limit() && this->IsOwned(this->ShardOf(name))) {
      EnsureTokenBucket(this->token_buckets, name, now);
    }
  }
}

std::vector<long> WorkspaceRateLimiter::OwnedShards() const {
  return ListAssignedShards(this->ownership, this->context.Now());
}

bool WorkspaceRateLimiter::OwnsShardOf(const std::string& name) const {
  return this->IsOwned(this->ShardOf(name));
}

void WorkspaceRateLimiter::GiveUpSupersededShards() {
  const bool owned_any = !this->OwnedShards().empty();
  const std::size_t given_up =
      GiveUpSuperseded(this->ownership, [this](long shard) {
        return NewestOtherClaim(this->context.members,
                                this->context.settings.name, shard,
                                this->context.Now());
      });
  if (given_up == 0) {
    return;
  }
  LogEvent(LogLevel::kWarning, "duties_superseded",
           {{"generation", std::to_string(this->ownership.generation)},
            {"duties", std::to_string(given_up)}});
  // The next assignment drops the buckets of these shards, since it does not
  // continue their ownership.
  if (owned_any) {
    this->on_ownership_change();
  }
}

void WorkspaceRateLimiter::StopOwningShards() {
  this->eligibility_timer.Stop();
  this->eligibility = {};
  this->ReleaseShardLease();
}

void WorkspaceRateLimiter::ReleaseShardLease() {
  this->renew_timer.Stop();
  if (!this->ownership.shards.empty()) {
    LogEvent(LogLevel::kInfo, "duties_handed_back",
             {{"generation", std::to_string(this->ownership.generation)}});
  }
  ReleaseAll(this->ownership, this->context.Now());
  this->token_buckets = {};
  this->context.coordination.shard_group.leave(this->context.settings.name,
                                               [] {});
}

// The store may have assigned the shards to others in the new era, so none is
// owned until it confirms them.
void WorkspaceRateLimiter::OnNewEra(std::uint64_t era) {
  if (!this->eligibility.is_eligible || this->ownership_era >= era) {
    return;
  }
  const bool owned_any = !this->OwnedShards().empty();
  this->ownership.expires_at = TimePoint();
  if (owned_any) {
    this->on_ownership_change();
  }
  this->RenewShardLease();
}

Duration WorkspaceRateLimiter::LeaseDuration() const {
  return std::max(kShardLeaseDuration, this->context.settings.shortest_lease);
}

void WorkspaceRateLimiter::RenewShardLease() {
  const TimePoint sent_at = this->context.Now();
  const Duration lease_duration = this->LeaseDuration();
  this->renew_timer.StartOnce(kRenewInterval);
  const bool is_of_present_era =
      this->ownership_era >= this->context.coordination.era->known();
  this->context.coordination.shard_group.renew(
      this->context.settings.name, lease_duration,
      is_of_present_era ? this->ownership.generation : 0,
      [this, sent_at, lease_duration](std::optional<ShardAssignment> assigned) {
        this->OnAssignment(std::move(assigned), sent_at, lease_duration);
      });
}

void WorkspaceRateLimiter::OnAssignment(std::optional<ShardAssignment> assigned,
                                        TimePoint sent_at,
                                        Duration lease_duration) {
  if (!assigned || !this->eligibility.is_eligible) {
    return;
  }
  if (assigned->era < this->ownership_era ||
      assigned->era < this->context.coordination.era->known()) {
    return;
  }
  const std::vector<long> before = this->OwnedShards();
  const bool is_new_era = assigned->era != this->ownership_era;
  const bool is_new_generation =
      is_new_era || assigned->generation != this->ownership.generation;
  if (!ApplyAssignment(this->ownership, assigned->generation,
                       std::move(assigned->shards), sent_at, lease_duration)) {
    return;
  }
  this->ownership_era = assigned->era;
  // Workspaces of shards that were not owned without interruption start with
  // empty buckets. In a new era, others may have owned them in between.
  std::erase_if(this->token_buckets.buckets, [&](const auto& bucket) {
    const long shard = this->ShardOf(bucket.first);
    return is_new_era || std::ranges::find(before, shard) == before.end() ||
           !this->IsOwned(shard);
  });
  if (this->context.routing) {
    this->OnConfigurationChange();
  }
  if (this->OwnedShards() != before) {
    this->on_ownership_change();
  }
  if (is_new_generation) {
    LogEvent(LogLevel::kInfo, "duties_dealt",
             {{"generation", std::to_string(this->ownership.generation)},
              {"duties", std::to_string(this->ownership.shards.size())}});
    // The store assigns the lost shards to other members only after the next
    // renewal acknowledges the new generation.
    this->renew_timer.StartOnce(kEarlyRenewDelay);
  }
}

long WorkspaceRateLimiter::ShardOf(const std::string& workspace) const {
  const long count =
      std::max(1L, this->context.coordination.shard_group.shard_count);
  return static_cast<long>(RendezvousWeight("allowance", workspace) %
                           static_cast<std::uint64_t>(count));
}

bool WorkspaceRateLimiter::IsOwned(long shard) const {
  const TimePoint now = this->context.Now();
  const std::string& name = this->context.settings.name;
  return MayGrant(
      this->ownership, shard,
      {.newest_live = NewestOtherClaim(this->context.members, name, shard, now),
       .newest_silent =
           NewestSilentClaim(this->context.members, name, shard, now)},
      this->LeaseDuration(), now);
}

std::optional<std::string> WorkspaceRateLimiter::OwnerAddressOf(
    long shard) const {
  const std::vector<const MemberEntry*> owners =
      OtherOwners(this->context.members, this->context.settings.name, shard,
                  this->context.Now());
  const auto newest =
      std::ranges::max_element(owners, {}, &MemberEntry::last_heard_at);
  return newest == owners.end()
             ? std::nullopt
             : std::optional((*newest)->status.record.peer_address);
}

RateLimitDecision WorkspaceRateLimiter::DecideByFallbackQuota(
    const std::string& workspace) {
  const RateLimitTolerance& tolerance =
      this->context.settings.bounds.rate_limit_tolerance;
  const long quota = FallbackQuota(
      this->ConfigurationOf(workspace), tolerance,
      RankOfMember(this->context.members, this->context.settings.name),
      this->context.member_count());
  const bool is_granted =
      ConsumeFallbackQuota(this->fallback_uses[workspace], quota,
                           tolerance.window, this->context.Now());
  return {is_granted, RateLimitSource::kFallbackQuota, kFallbackRetryAfter};
}

// Takes a token from a bucket that this instance owns.
TokenReservation WorkspaceRateLimiter::ReserveOwnToken(
    const TokenRequest& request) {
  const TimePoint now = this->context.Now();
  const WorkspaceConfiguration& configuration =
      this->ConfigurationOf(request.workspace);
  double reserve = 0;
  if (this->context.settings.bounds.has_token_priorities) {
    TokenDemand& demand = this->token_demands[request.workspace];
    RecordTokenRequest(demand, request.priority, now);
    reserve = TokenReserve(demand, configuration, request.priority, now);
  }
  const TokenReservation reservation =
      ReserveToken(this->token_buckets, request.workspace, configuration,
                   request.max_token_wait, now, reserve);
  if (!reservation.is_granted && reserve > 0) {
    IncrementCounter(this->context.metrics, "allowance_reserved_refusals");
  }
  return reservation;
}

void WorkspaceRateLimiter::DecideLocally(const TokenRequest& request,
                                         OnDecision on_decision) {
  const TokenReservation reservation = this->ReserveOwnToken(request);
  if (!reservation.is_granted || reservation.retry_after <= Duration(0)) {
    on_decision({reservation.is_granted, RateLimitSource::kLocalOwner,
                 reservation.retry_after});
    return;
  }
  const std::uint64_t id = this->next_request_id++;
  this->pending_requests[id].on_decision = std::move(on_decision);
  this->GrantAfter(id, reservation.retry_after, RateLimitSource::kLocalOwner);
}

void WorkspaceRateLimiter::SendTokenRequest(std::uint64_t id) {
  PendingRequest& request = this->pending_requests.at(id);
  const auto address =
      this->OwnerAddressOf(this->ShardOf(request.token.workspace));
  if (!this->context.peer_transport || !address) {
    this->OnOwnerUnreachable(id, ShardOwnerState::kUnknown);
    return;
  }
  ++request.send_attempts;
  Json::Value parameters;
  parameters["f"] = this->context.settings.peer_address;
  parameters["i"] = Json::UInt64(id);
  parameters["w"] = request.token.workspace;
  parameters["p"] = Json::Int64(ToMilliseconds(request.token.max_token_wait));
  if (this->context.settings.bounds.has_token_priorities) {
    parameters["u"] = request.token.priority;
  }
  this->context.peer_transport->Send(*address, kTokenRequest, parameters);
  request.timer = std::make_unique<Timer>(
      this->context.loop, [this, id] { this->OnReplyTimeout(id); });
  request.timer->StartOnce(kReplyTimeout);
}

void WorkspaceRateLimiter::OnReplyTimeout(std::uint64_t id) {
  const auto found = this->pending_requests.find(id);
  if (found == this->pending_requests.end()) {
    return;
  }
  if (found->second.send_attempts < kMaxSendAttempts) {
    this->SendTokenRequest(id);
    return;
  }
  IncrementCounter(this->context.metrics, "allowance_asks_unanswered");
  this->OnOwnerUnreachable(id, ShardOwnerState::kSilent);
}

// Decides by the fallback quota. If it is used up, waits for an owner until the
// request's owner deadline; after a restart of all instances, for example, the
// shards have no owners at first.
void WorkspaceRateLimiter::OnOwnerUnreachable(std::uint64_t id,
                                              ShardOwnerState state) {
  PendingRequest& request = this->pending_requests.at(id);
  this->RecordOwnerState(this->ShardOf(request.token.workspace), state);
  const RateLimitDecision decision =
      this->DecideByFallbackQuota(request.token.workspace);
  if (decision.is_granted || this->context.Now() >= request.owner_deadline) {
    this->Complete(id, decision);
    return;
  }
  request.send_attempts = 0;
  request.timer = std::make_unique<Timer>(
      this->context.loop, [this, id] { this->RetryTokenRequest(id); });
  request.timer->StartOnce(kOwnerRetryInterval);
}

void WorkspaceRateLimiter::RecordOwnerState(long shard, ShardOwnerState state) {
  this->owner_log.Record(
      shard, state,
      OtherOwners(this->context.members, this->context.settings.name, shard,
                  this->context.Now())
          .size());
}

void WorkspaceRateLimiter::RetryTokenRequest(std::uint64_t id) {
  PendingRequest& request = this->pending_requests.at(id);
  if (!this->IsOwned(this->ShardOf(request.token.workspace))) {
    this->SendTokenRequest(id);
    return;
  }
  const TokenRequest token = request.token;
  OnDecision on_decision = std::move(request.on_decision);
  this->pending_requests.erase(id);
  this->DecideLocally(token, std::move(on_decision));
}

void WorkspaceRateLimiter::OnTokenRequest(const Json::Value& parameters) {
  const std::string workspace = parameters["w"].asString();
  Json::Value reply;
  reply["i"] = parameters["i"];
  reply["r"] = 0;
  if (!this->context.routing || !this->IsOwned(this->ShardOf(workspace))) {
    reply["g"] = kNotOwner;
  } else if (!this->ConfigurationOf(workspace).has_rate_limit()) {
    reply["g"] = kGranted;
  } else {
    const TokenReservation reservation = this->ReserveOwnToken(
        {.workspace = workspace,
         .priority = parameters["u"].asInt(),
         .max_token_wait = milliseconds(parameters["p"].asInt64())});
    reply["g"] = reservation.is_granted ? kGranted : kDenied;
    reply["r"] = Json::Int64(reservation.retry_after.count());
  }
  this->context.peer_transport->Send(parameters["f"].asString(), kTokenReply,
                                     reply);
}

void WorkspaceRateLimiter::OnTokenReply(const Json::Value& parameters) {
  const std::uint64_t id = parameters["i"].asUInt64();
  const auto found = this->pending_requests.find(id);
  if (found == this->pending_requests.end()) {
    return;
  }
  const Duration delay(parameters["r"].asInt64());
  if (!found->second.workspace.empty() &&
      parameters["g"].asInt() != kNotOwner) {
    this->RecordOwnerState(this->ShardOf(found->second.workspace),
                           ShardOwnerState::kReached);
  }
  switch (parameters["g"].asInt()) {
    case kGranted:
      this->GrantAfter(id, delay, RateLimitSource::kRemoteOwner);
      return;
    case kNotOwner:
      this->OnOwnerUnreachable(id, ShardOwnerState::kDeclined);
      return;
    default:
      this->Complete(id, {false, RateLimitSource::kRemoteOwner, delay});
  }
}

void WorkspaceRateLimiter::GrantAfter(std::uint64_t id,
                                      Duration delay,
                                      RateLimitSource source) {
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

void WorkspaceRateLimiter::Complete(std::uint64_t id,
                                    const RateLimitDecision& decision) {
  const auto found = this->pending_requests.find(id);
  const OnDecision on_decision = std::move(found->second.on_decision);
  // This may run in the callback of the timer, which therefore has to live
  // until the function returns.
  const std::shared_ptr<Timer> timer = std::move(found->second.timer);
  this->pending_requests.erase(found);
  on_decision(decision);
}

const WorkspaceConfiguration& WorkspaceRateLimiter::ConfigurationOf(
    const std::string& workspace) const {
  return GetWorkspaceConfiguration(this->context.routing->configuration(),
                                   workspace);
}

}  // namespace parsleyquay
