// The part of WorkspaceRateLimiter that decides on requests for tokens, by the
// token buckets of this instance, those of an owner, or the fallback quota.

#include <utility>

#include "gateway/workspace_rate_limiter.h"

namespace parsleyquay {

namespace {

// Methods of messages between instances.
constexpr char kTokenRequest[] = "allowance_ask";
constexpr char kTokenReply[] = "allowance_grant";

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

RateLimitDecision WorkspaceRateLimiter::DecideByFallbackQuota(
    const std::string& workspace) {
  const RateLimitTolerance& tolerance =
      this->context.settings.bounds.rate_limit_tolerance;
  const TimePoint now = this->context.Now();
  if (!IsFallbackQuotaUsable(
          {.started_at = this->started_at,
           .has_read_members = this->context.has_read_members},
          tolerance, now)) {
    return {false, RateLimitSource::kFallbackQuota, kFallbackRetryAfter};
  }
  const long quota = FallbackQuota(
      this->ConfigurationOf(workspace), tolerance,
      RankOfMember(this->context.members, this->context.settings.name),
      this->context.member_count());
  const bool is_granted = ConsumeFallbackQuota(this->fallback_uses[workspace],
                                               quota, tolerance.window, now);
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
  if (!found->second.token.workspace.empty() &&
      parameters["g"].asInt() != kNotOwner) {
    this->RecordOwnerState(this->ShardOf(found->second.token.workspace),
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

}  // namespace parsleyquay
