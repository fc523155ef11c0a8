#include "gateway/workspace_rate_limiter.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "base/rendezvous.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr char kAsk[] = "allowance_ask";
constexpr char kGrant[] = "allowance_grant";

// How long duties are held without being renewed. Longer than most outages of
// the store, shorter than callers bear to do without their home.
constexpr Duration kShardLeaseDuration = seconds(5);
constexpr Duration kRenewInterval = milliseconds(600);
constexpr Duration kRenewSoon = milliseconds(40);
constexpr Duration kConditionsInterval = milliseconds(250);

// Duties go on with one holder of each failure domain lost.
constexpr std::ptrdiff_t kHoldersPerDomain = 2;

// All members have found each other by then.
constexpr Duration kStartTime = seconds(3);
// A holder stops that long before others may begin.
constexpr Duration kShardLeaseMargin = milliseconds(200);

// A datagram crosses the fleet in a few milliseconds; one may be lost.
constexpr Duration kAskTimeout = milliseconds(70);
constexpr int kMostSendings = 2;

// How soon a home is looked for again.
constexpr Duration kOwnerRetry = milliseconds(100);

// Soon: another instance may have a home in reach, or something left.
constexpr Duration kFallbackRetryAfter = milliseconds(200);

enum GrantCode { kDenied, kGranted, kNotOwner };

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

WorkspaceRateLimiter::WorkspaceRateLimiter(GatewayContext& context,
                                           std::function<void()> on_shards)
    : context(context),
      on_shards(std::move(on_shards)),
      renew_timer(context.loop, [this] { this->Renew(); }),
      conditions_timer(context.loop, [this] { this->Reconsider(); }) {}

void WorkspaceRateLimiter::Start() {
  this->started_at = this->context.Now();
  this->conditions_timer.StartRepeating(kConditionsInterval);
}

void WorkspaceRateLimiter::Reconsider() {
  const bool took_part = this->eligibility.is_eligible;
  const ShardOwnerConditions conditions = this->OwnConditions();
  UpdateEligibility(this->eligibility, conditions, this->context.Now());
  const bool takes_part = this->eligibility.is_eligible;
  if (takes_part && !took_part) {
    this->has_given_back = true;
    this->Renew();
  } else if (!takes_part && took_part) {
    this->HandBack();
  } else if (takes_part && this->is_some_shard_orphaned()) {
    // Its holder has left: it may have been dealt to this instance.
    this->Renew();
  }
  // Nobody else could take up what an earlier life of this process held until
  // it lapses.
  if (!conditions.is_candidate && !this->has_given_back) {
    this->has_given_back = true;
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
  return {.is_candidate =
              own != ranked.end() && own - ranked.begin() < kHoldersPerDomain,
          .is_at_least_half_alive = IsAtLeastHalfAlive(members, now),
          .has_started_recently = !this->context.has_previous_incarnation &&
                                  now - this->started_at < kStartTime};
}

bool WorkspaceRateLimiter::is_some_shard_orphaned() const {
  for (long shard = 0;
       shard < this->context.coordination.shard_group.shard_count; ++shard) {
    if (!this->IsHeld(shard) && !this->OwnerAddressOf(shard)) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> WorkspaceRateLimiter::MessageMethods() {
  return {kAsk, kGrant};
}

void WorkspaceRateLimiter::RequestToken(const std::string& workspace,
                                        Duration patience,
                                        Duration owner_patience,
                                        OnDecision on_decision) {
  if (!this->ConfigurationOf(workspace).has_rate_limit()) {
    on_decision({true, RateLimitSource::kNoLimit});
    return;
  }
  const long shard = this->ShardOf(workspace);
  if (this->IsHeld(shard)) {
    this->AnswerFromOwnBuckets(workspace, patience, std::move(on_decision));
    return;
  }
  const std::uint64_t id = this->next_ask++;
  PendingAsk& ask = this->pending[id];
  ask.workspace = workspace;
  ask.patience = patience;
  ask.on_decision = std::move(on_decision);
  ask.give_up_at = this->context.Now() + owner_patience;
  this->SendAsk(id);
}

void WorkspaceRateLimiter::OnMessage(const std::string& method,
                                     const Json::Value& parameters) {
  if (method == kAsk) {
    this->OnAsk(parameters);
    return;
  }
  this->OnGrant(parameters);
}

void WorkspaceRateLimiter::OnConfigurationChange() {
  const TimePoint now = this->context.Now();
  for (const auto& [name, configuration] :
       this->context.routing->configuration().workspaces) {
    if (configuration.has_rate_limit() && this->IsHeld(this->ShardOf(name))) {
      EnsureTokenBucket(this->token_buckets, name, now);
    }
  }
}

std::vector<long> WorkspaceRateLimiter::OwnedShards() const {
  return this->context.Now() < this->held_until ? this->assignment.shards
                                                : std::vector<long>();
}

void WorkspaceRateLimiter::ReleaseShards() {
  this->conditions_timer.Stop();
  this->eligibility = {};
  this->HandBack();
}

void WorkspaceRateLimiter::HandBack() {
  this->renew_timer.Stop();
  if (!this->assignment.shards.empty()) {
    LogEvent(LogLevel::kInfo, "duties_handed_back",
             {{"generation", std::to_string(this->assignment.generation)}});
  }
  this->assignment = {};
  this->held_until = TimePoint();
  this->token_buckets = {};
  this->context.coordination.shard_group.leave(this->context.settings.name,
                                               [] {});
}

void WorkspaceRateLimiter::Renew() {
  const TimePoint sent_at = this->context.Now();
  const Duration lifetime =
      std::max(kShardLeaseDuration, this->context.settings.shortest_lease);
  this->renew_timer.StartOnce(kRenewInterval);
  this->context.coordination.shard_group.renew(
      this->context.settings.name, lifetime, this->assignment.generation,
      [this, sent_at, lifetime](std::optional<ShardAssignment> dealt) {
        this->OnAssignment(std::move(dealt), sent_at, lifetime);
      });
}

void WorkspaceRateLimiter::OnAssignment(std::optional<ShardAssignment> dealt,
                                        TimePoint sent_at,
                                        Duration lifetime) {
  if (!dealt || !this->eligibility.is_eligible) {
    return;
  }
  const std::vector<long> held = this->OwnedShards();
  const bool is_regrouped = dealt->generation != this->assignment.generation;
  this->assignment = std::move(*dealt);
  this->held_until = sent_at + lifetime - kShardLeaseMargin;
  // What was not held all the while begins with empty buckets.
  std::erase_if(this->token_buckets.buckets, [&](const auto& bucket) {
    const long shard = this->ShardOf(bucket.first);
    return std::ranges::find(held, shard) == held.end() || !this->IsHeld(shard);
  });
  if (this->context.routing) {
    this->OnConfigurationChange();
  }
  if (this->OwnedShards() != held) {
    this->on_shards();
  }
  if (is_regrouped) {
    LogEvent(LogLevel::kInfo, "duties_dealt",
             {{"generation", std::to_string(this->assignment.generation)},
              {"duties", std::to_string(this->assignment.shards.size())}});
    // The others get what is not ours any more once we say that we know.
    this->renew_timer.StartOnce(kRenewSoon);
  }
}

long WorkspaceRateLimiter::ShardOf(const std::string& workspace) const {
  const long count =
      std::max(1L, this->context.coordination.shard_group.shard_count);
  return static_cast<long>(RendezvousWeight("allowance", workspace) %
                           static_cast<std::uint64_t>(count));
}

bool WorkspaceRateLimiter::IsHeld(long shard) const {
  return this->context.Now() < this->held_until &&
         std::ranges::find(this->assignment.shards, shard) !=
             this->assignment.shards.end();
}

std::optional<std::string> WorkspaceRateLimiter::OwnerAddressOf(
    long shard) const {
  const TimePoint now = this->context.Now();
  const MemberEntry* newest = nullptr;
  for (const auto& [name, entry] : this->context.members.members) {
    const bool is_owner = name != this->context.settings.name &&
                          IsAlive(entry, now) &&
                          std::ranges::find(entry.status.owned_shards, shard) !=
                              entry.status.owned_shards.end();
    if (is_owner && (!newest || newest->last_heard_at < entry.last_heard_at)) {
      newest = &entry;
    }
  }
  return newest ? std::optional(newest->status.record.peer_address)
                : std::nullopt;
}

RateLimitDecision WorkspaceRateLimiter::ConsumeFallbackRequest(
    const std::string& workspace) {
  const RateLimitTolerance& tolerance =
      this->context.settings.bounds.rate_limit_tolerance;
  const long share = FallbackQuota(
      this->ConfigurationOf(workspace), tolerance,
      RankOfMember(this->context.members, this->context.settings.name),
      this->context.member_count());
  const bool is_taken =
      ConsumeFallbackQuota(this->fallback_uses[workspace], share,
                           tolerance.window, this->context.Now());
  return {is_taken, RateLimitSource::kFallbackQuota, kFallbackRetryAfter};
}

void WorkspaceRateLimiter::AnswerFromOwnBuckets(const std::string& workspace,
                                                Duration patience,
                                                OnDecision on_decision) {
  const TokenReservation reservation = ReserveToken(
      this->token_buckets, workspace, this->ConfigurationOf(workspace),
      patience, this->context.Now());
  if (!reservation.is_granted || reservation.retry_after <= Duration(0)) {
    on_decision({reservation.is_granted, RateLimitSource::kLocalOwner,
                 reservation.retry_after});
    return;
  }
  const std::uint64_t id = this->next_ask++;
  this->pending[id].on_decision = std::move(on_decision);
  this->GrantAfter(id, reservation.retry_after, RateLimitSource::kLocalOwner);
}

void WorkspaceRateLimiter::SendAsk(std::uint64_t id) {
  PendingAsk& ask = this->pending.at(id);
  const auto address = this->OwnerAddressOf(this->ShardOf(ask.workspace));
  if (!this->context.peer_transport || !address) {
    this->OnNoOwner(id);
    return;
  }
  ++ask.sendings;
  Json::Value parameters;
  parameters["f"] = this->context.settings.peer_address;
  parameters["i"] = Json::UInt64(id);
  parameters["w"] = ask.workspace;
  parameters["p"] = Json::Int64(ToMilliseconds(ask.patience));
  this->context.peer_transport->Send(*address, kAsk, parameters);
  ask.timer = std::make_unique<Timer>(this->context.loop,
                                      [this, id] { this->OnAskTimeout(id); });
  ask.timer->StartOnce(kAskTimeout);
}

void WorkspaceRateLimiter::OnAskTimeout(std::uint64_t id) {
  const auto found = this->pending.find(id);
  if (found == this->pending.end()) {
    return;
  }
  if (found->second.sendings < kMostSendings) {
    this->SendAsk(id);
    return;
  }
  IncrementCounter(this->context.metrics, "allowance_asks_unanswered");
  this->OnNoOwner(id);
}

// Spends of the own share; where nothing is left of it, waits a little for a
// home, such as after a restart of all instances.
void WorkspaceRateLimiter::OnNoOwner(std::uint64_t id) {
  PendingAsk& ask = this->pending.at(id);
  const RateLimitDecision decision =
      this->ConsumeFallbackRequest(ask.workspace);
  if (decision.is_granted || this->context.Now() >= ask.give_up_at) {
    this->Answer(id, decision);
    return;
  }
  ask.sendings = 0;
  ask.timer = std::make_unique<Timer>(this->context.loop,
                                      [this, id] { this->AskAgain(id); });
  ask.timer->StartOnce(kOwnerRetry);
}

void WorkspaceRateLimiter::AskAgain(std::uint64_t id) {
  PendingAsk& ask = this->pending.at(id);
  if (!this->IsHeld(this->ShardOf(ask.workspace))) {
    this->SendAsk(id);
    return;
  }
  const std::string workspace = ask.workspace;
  const Duration patience = ask.patience;
  OnDecision on_decision = std::move(ask.on_decision);
  this->pending.erase(id);
  this->AnswerFromOwnBuckets(workspace, patience, std::move(on_decision));
}

void WorkspaceRateLimiter::OnAsk(const Json::Value& parameters) {
  const std::string workspace = parameters["w"].asString();
  Json::Value reply;
  reply["i"] = parameters["i"];
  reply["r"] = 0;
  if (!this->context.routing || !this->IsHeld(this->ShardOf(workspace))) {
    reply["g"] = kNotOwner;
  } else if (!this->ConfigurationOf(workspace).has_rate_limit()) {
    reply["g"] = kGranted;
  } else {
    const TokenReservation reservation = ReserveToken(
        this->token_buckets, workspace, this->ConfigurationOf(workspace),
        milliseconds(parameters["p"].asInt64()), this->context.Now());
    reply["g"] = reservation.is_granted ? kGranted : kDenied;
    reply["r"] = Json::Int64(reservation.retry_after.count());
  }
  this->context.peer_transport->Send(parameters["f"].asString(), kGrant, reply);
}

void WorkspaceRateLimiter::OnGrant(const Json::Value& parameters) {
  const std::uint64_t id = parameters["i"].asUInt64();
  const auto found = this->pending.find(id);
  if (found == this->pending.end()) {
    return;
  }
  const Duration delay(parameters["r"].asInt64());
  switch (parameters["g"].asInt()) {
    case kGranted:
      this->GrantAfter(id, delay, RateLimitSource::kRemoteOwner);
      return;
    case kNotOwner:
      this->OnNoOwner(id);
      return;
    default:
      this->Answer(id, {false, RateLimitSource::kRemoteOwner, delay});
  }
}

void WorkspaceRateLimiter::GrantAfter(std::uint64_t id,
                                      Duration delay,
                                      RateLimitSource source) {
  if (delay <= Duration(0)) {
    this->Answer(id, {true, source});
    return;
  }
  PendingAsk& ask = this->pending.at(id);
  ask.timer = std::make_unique<Timer>(this->context.loop, [this, id, source] {
    this->Answer(id, {true, source});
  });
  ask.timer->StartOnce(delay);
}

void WorkspaceRateLimiter::Answer(std::uint64_t id,
                                  const RateLimitDecision& decision) {
  const auto found = this->pending.find(id);
  // The timer may be the one that is running; it ends with this turn.
  const OnDecision on_decision = std::move(found->second.on_decision);
  const std::shared_ptr<Timer> timer = std::move(found->second.timer);
  this->pending.erase(found);
  on_decision(decision);
}

const WorkspaceConfiguration& WorkspaceRateLimiter::ConfigurationOf(
    const std::string& workspace) const {
  return GetWorkspaceConfiguration(this->context.routing->configuration(),
                                   workspace);
}

}  // namespace parsleyquay
