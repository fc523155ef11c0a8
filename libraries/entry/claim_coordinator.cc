#include "entry/claim_coordinator.h"

#include <algorithm>
#include <set>

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kResendInterval = milliseconds(150);
constexpr int kMaxAttempts = 4;
constexpr Duration kRestartDelay = milliseconds(150);
constexpr Duration kClaimTimeout = milliseconds(1'500);

}  // namespace

ClaimCoordinator::ClaimCoordinator(EntryContext& context)
    : context(context), timer(context.loop, [this] { this->Tick(); }) {}

void ClaimCoordinator::Start() {
  this->timer.StartRepeating(kTickInterval);
}

void ClaimCoordinator::AcquireClaim(const std::string& key_digest,
                                    const std::string& request_id,
                                    Callback callback) {
  ClaimOperation operation;
  operation.key_digest = key_digest;
  operation.request_id = request_id;
  operation.callback = std::move(callback);
  this->AddOperation(std::move(operation));
}

void ClaimCoordinator::LookUp(const std::string& key_digest,
                              Callback callback) {
  ClaimOperation operation;
  operation.key_digest = key_digest;
  operation.callback = std::move(callback);
  operation.is_look_up = true;
  this->AddOperation(std::move(operation));
}

void ClaimCoordinator::AddOperation(ClaimOperation operation) {
  operation.deadline = this->context.Now() + kClaimTimeout;
  const std::uint64_t id = ++this->next_operation_id;
  this->operations.emplace(id, std::move(operation));
  this->StartOperation(id);
}

// Starts an operation, or restarts it after the view has changed.
void ClaimCoordinator::StartOperation(std::uint64_t id) {
  ClaimOperation& operation = this->operations.at(id);
  // Replies to requests of an earlier plan must not count for this one.
  std::erase_if(this->pending_messages, [&](const auto& entry) {
    return entry.second.operation == id;
  });
  operation.plan = PlanClaim(this->context.fleet, operation.key_digest);
  operation.view_version = this->context.fleet.view.version;
  operation.owners_recorded = 0;
  operation.look_up_replies.clear();
  operation.retry_at = TimePoint::max();
  if (operation.plan.owners.size() < kOwnersPerKey) {
    this->FinishOperation(id, {ClaimDecision::kNotExecuted, {}});
    return;
  }
  std::set<std::string> to_ask;
  for (const auto& group : operation.plan.former_owner_groups) {
    to_ask.insert(group.begin(), group.end());
  }
  if (operation.is_look_up) {
    to_ask.insert(operation.plan.owners.begin(), operation.plan.owners.end());
  } else {
    for (const std::string& owner : operation.plan.owners) {
      to_ask.erase(owner);
    }
  }
  const Claim claim{operation.request_id, ClaimState::kRunning, {}, {}};
  const std::string key_digest = operation.key_digest;
  for (const std::string& name : to_ask) {
    this->SendClaimRequest(id, name, ClaimAction::kLookUp, key_digest, claim);
  }
  this->AdvanceOperation(id);
}

bool ClaimCoordinator::HasCheckedFormerOwners(
    const ClaimOperation& operation) const {
  const auto has_no_claim = [&](const std::string& name) {
    const auto reply = operation.look_up_replies.find(name);
    return reply != operation.look_up_replies.end() &&
           reply->second == ClaimReplyStatus::kNotFound;
  };
  // A current owner need not be asked: it records the claim only if it stores
  // none of another request.
  const auto is_owner = [&](const std::string& name) {
    return std::ranges::find(operation.plan.owners, name) !=
           operation.plan.owners.end();
  };
  return std::ranges::all_of(
      operation.plan.former_owner_groups, [&](const auto& group) {
        return std::ranges::any_of(group, has_no_claim) ||
               (!operation.is_look_up && std::ranges::any_of(group, is_owner));
      });
}

// Takes the next step if the current one is complete. First the owners under
// earlier views state that they store no claim; then the current owners record
// it one after the other, so that the first owner decides between two
// concurrent requests with the same key.
void ClaimCoordinator::AdvanceOperation(std::uint64_t id) {
  const auto found = this->operations.find(id);
  if (found == this->operations.end()) {
    return;
  }
  const ClaimOperation& operation = found->second;
  if (operation.is_look_up) {
    const bool has_asked_owners = std::ranges::all_of(
        operation.plan.owners, [&](const std::string& owner) {
          return operation.look_up_replies.contains(owner);
        });
    if (has_asked_owners && this->HasCheckedFormerOwners(operation)) {
      this->FinishOperation(id, {ClaimDecision::kNotExecuted, {}});
    }
    return;
  }
  if (!this->HasCheckedFormerOwners(operation)) {
    return;
  }
  if (operation.plan.history == ClaimHistory::kLost) {
    this->FinishOperation(id, {ClaimDecision::kUnknown, {}});
    return;
  }
  if (operation.owners_recorded == operation.plan.owners.size()) {
    const bool is_same_view =
        operation.view_version == this->context.fleet.view.version;
    if (is_same_view && this->context.has_view_lease()) {
      this->FinishOperation(id, {ClaimDecision::kMayExecute, {}});
      return;
    }
    this->StartOperation(id);
    return;
  }
  this->RecordAtNextOwner(id, operation);
}

void ClaimCoordinator::RecordAtNextOwner(std::uint64_t id,
                                         const ClaimOperation& operation) {
  const std::string& owner = operation.plan.owners[operation.owners_recorded];
  const bool is_request_pending =
      std::ranges::any_of(this->pending_messages, [&](const auto& entry) {
        return entry.second.operation == id && entry.second.target == owner;
      });
  if (!is_request_pending) {
    const Claim claim{operation.request_id, ClaimState::kRunning, {}, {}};
    this->SendClaimRequest(id, owner, ClaimAction::kRecord,
                           operation.key_digest, claim);
  }
}

void ClaimCoordinator::FinishOperation(std::uint64_t id,
                                       const ClaimResult& result) {
  const auto found = this->operations.find(id);
  const ClaimOperation operation = std::move(found->second);
  this->operations.erase(found);
  std::erase_if(this->pending_messages, [&](const auto& entry) {
    return entry.second.operation == id;
  });
  const bool must_abandon = !operation.is_look_up &&
                            result.decision != ClaimDecision::kMayExecute &&
                            operation.plan.owners.size() == kOwnersPerKey;
  if (must_abandon) {
    this->Abandon(operation.key_digest, operation.request_id);
  }
  operation.callback(result);
}

void ClaimCoordinator::Complete(const std::string& key_digest,
                                const Claim& outcome) {
  const ClaimPlan plan = PlanClaim(this->context.fleet, key_digest);
  for (const std::string& owner : plan.owners) {
    this->SendClaimRequest(0, owner, ClaimAction::kComplete, key_digest,
                           outcome);
  }
}

void ClaimCoordinator::Abandon(const std::string& key_digest,
                               const std::string& request_id) {
  const ClaimPlan plan = PlanClaim(this->context.fleet, key_digest);
  const Claim claim{request_id, ClaimState::kRunning, {}, {}};
  for (const std::string& owner : plan.owners) {
    this->SendClaimRequest(0, owner, ClaimAction::kAbandon, key_digest, claim);
  }
}

void ClaimCoordinator::SendClaimRequest(std::uint64_t operation,
                                        const std::string& target,
                                        ClaimAction action,
                                        const std::string& key_digest,
                                        const Claim& claim) {
  PendingMessage message;
  message.operation = operation;
  message.target = target;
  message.request = {this->context.settings.advertised_peer_address,
                     this->context.NextNonce(),
                     action,
                     key_digest,
                     this->context.fleet.view.version,
                     claim};
  if (this->context.is_self(target)) {
    const ClaimReply reply = this->HandleAsOwner(message.request);
    this->HandleReply(message, reply);
    return;
  }
  const std::uint64_t nonce = message.request.nonce;
  this->Transmit(this->pending_messages[nonce] = std::move(message));
}

void ClaimCoordinator::Transmit(PendingMessage& message) {
  message.sent_at = this->context.Now();
  ++message.attempts;
  this->context.peer_transport->Send(
      this->context.PeerAddressOf(message.target), "claim",
      ToJson(message.request));
}

ClaimReply ClaimCoordinator::HandleAsOwner(const ClaimRequest& request) {
  if (this->claim_table_incarnation != this->context.incarnation) {
    // The other members regard the claims of an earlier incarnation as lost, so
    // this instance must not use them either.
    this->claim_table = ClaimTable{};
    this->claim_table_incarnation = this->context.incarnation;
  }
  const TimePoint now = this->context.Now();
  ClaimReply reply;
  reply.nonce = request.nonce;
  reply.sender = this->context.settings.name;
  const std::string& key = request.key_digest;
  const std::string& request_id = request.outcome.request_id;
  if (request.action == ClaimAction::kComplete) {
    this->claim_table =
        CompleteClaim(std::move(this->claim_table), key, request.outcome, now);
    reply.status = ClaimReplyStatus::kAcknowledged;
    return reply;
  }
  if (request.action == ClaimAction::kAbandon) {
    this->claim_table =
        AbandonClaim(std::move(this->claim_table), key, request_id);
    reply.status = ClaimReplyStatus::kAcknowledged;
    return reply;
  }
  const bool has_same_view =
      this->context.has_view_lease() &&
      request.view_version == this->context.fleet.view.version;
  if (!has_same_view) {
    return reply;
  }
  if (request.action == ClaimAction::kLookUp) {
    const auto claim = this->claim_table.claims.find(key);
    const bool is_other = claim != this->claim_table.claims.end() &&
                          claim->second.request_id != request_id;
    reply.status =
        is_other ? ClaimReplyStatus::kTaken : ClaimReplyStatus::kNotFound;
    reply.existing = is_other ? claim->second : Claim{};
    return reply;
  }
  ClaimAttempt attempt = parsleyquay::RecordClaim(std::move(this->claim_table),
                                                  key, request_id, now);
  this->claim_table = std::move(attempt.table);
  reply.status =
      attempt.status == ClaimStatus::kRecorded ? ClaimReplyStatus::kRecorded
      : attempt.status == ClaimStatus::kTaken  ? ClaimReplyStatus::kTaken
                                               : ClaimReplyStatus::kRejected;
  reply.existing = attempt.existing.value_or(Claim{});
  return reply;
}

void ClaimCoordinator::OnRequest(const Json::Value& parameters) {
  const ClaimRequest request = ClaimRequestFromJson(parameters);
  this->context.peer_transport->Send(request.reply_address, "claimed",
                                     ToJson(this->HandleAsOwner(request)));
}

void ClaimCoordinator::OnReply(const Json::Value& parameters) {
  const ClaimReply reply = ClaimReplyFromJson(parameters);
  const auto found = this->pending_messages.find(reply.nonce);
  if (found == this->pending_messages.end() ||
      found->second.target != reply.sender) {
    return;
  }
  const PendingMessage message = std::move(found->second);
  this->pending_messages.erase(found);
  this->HandleReply(message, reply);
}

void ClaimCoordinator::HandleReply(const PendingMessage& message,
                                   const ClaimReply& reply) {
  const auto found = this->operations.find(message.operation);
  if (found == this->operations.end()) {
    return;
  }
  ClaimOperation& operation = found->second;
  switch (reply.status) {
    case ClaimReplyStatus::kTaken:
      this->FinishOperation(message.operation,
                            {ClaimDecision::kTaken, reply.existing});
      return;
    case ClaimReplyStatus::kRecorded:
      ++operation.owners_recorded;
      this->AdvanceOperation(message.operation);
      return;
    case ClaimReplyStatus::kNotFound:
      operation.look_up_replies[reply.sender] = reply.status;
      this->AdvanceOperation(message.operation);
      return;
    case ClaimReplyStatus::kRejected:
      // The owner has another view, holds no view lease, or has no room for
      // further claims. The operation restarts after a delay.
      operation.retry_at = this->context.Now() + kRestartDelay;
      return;
    case ClaimReplyStatus::kAcknowledged:
      return;
  }
}

void ClaimCoordinator::Tick() {
  const TimePoint now = this->context.Now();
  this->claim_table = RemoveExpiredClaims(std::move(this->claim_table), now);
  std::erase_if(this->pending_messages, [&](const auto& entry) {
    return entry.second.attempts >= kMaxAttempts &&
           now - entry.second.sent_at >= kResendInterval;
  });
  for (auto& [nonce, message] : this->pending_messages) {
    if (now - message.sent_at >= kResendInterval) {
      this->Transmit(message);
    }
  }
  std::vector<std::uint64_t> expired;
  std::vector<std::uint64_t> due;
  for (const auto& [id, operation] : this->operations) {
    if (now >= operation.deadline) {
      expired.push_back(id);
    } else if (now >= operation.retry_at) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    this->FinishOperation(id, {ClaimDecision::kNotExecuted, {}});
  }
  for (const std::uint64_t id : due) {
    if (this->operations.contains(id)) {
      this->StartOperation(id);
    }
  }
}

void ClaimCoordinator::HandOverClaims() {
  FleetState without_self;
  without_self.view = this->context.fleet.view;
  without_self.view.members.erase(this->context.settings.name);
  for (const auto& [key, claim] : this->claim_table.claims) {
    for (const std::string& owner :
         FindOwners(key, ToPastMembers(without_self.view), kOwnersPerKey)) {
      this->SendClaimRequest(0, owner, ClaimAction::kComplete, key, claim);
    }
  }
}

}  // namespace parsleyquay
