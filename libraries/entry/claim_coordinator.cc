#include "entry/claim_coordinator.h"

#include <algorithm>
#include <set>

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kResendInterval = milliseconds(150);
constexpr int kMostTries = 4;
constexpr Duration kReplanDelay = milliseconds(150);
constexpr Duration kClaimPatience = milliseconds(1'500);

}  // namespace

ClaimCoordinator::ClaimCoordinator(EntryContext& context)
    : context(context), timer(context.loop, [this] { this->Tick(); }) {}

void ClaimCoordinator::Start() {
  this->timer.StartRepeating(kTickInterval);
}

void ClaimCoordinator::AcquireClaim(const std::string& key_digest,
                                    const std::string& request_id,
                                    Callback callback) {
  Inquiry inquiry;
  inquiry.key_digest = key_digest;
  inquiry.request_id = request_id;
  inquiry.callback = std::move(callback);
  this->Begin(std::move(inquiry));
}

void ClaimCoordinator::LookUp(const std::string& key_digest,
                              Callback callback) {
  Inquiry inquiry;
  inquiry.key_digest = key_digest;
  inquiry.callback = std::move(callback);
  inquiry.is_look_up = true;
  this->Begin(std::move(inquiry));
}

void ClaimCoordinator::Begin(Inquiry inquiry) {
  inquiry.give_up_at = this->context.Now() + kClaimPatience;
  const std::uint64_t id = ++this->next_inquiry;
  this->inquiries.emplace(id, std::move(inquiry));
  this->Plan(id);
}

// Starts an inquiry, or starts it anew after the view has changed.
void ClaimCoordinator::Plan(std::uint64_t id) {
  Inquiry& inquiry = this->inquiries.at(id);
  // Answers to an earlier plan must not count for this one.
  std::erase_if(this->messages,
                [&](const auto& entry) { return entry.second.inquiry == id; });
  inquiry.plan = PlanClaim(this->context.fleet, inquiry.key_digest);
  inquiry.view_version = this->context.fleet.view.version;
  inquiry.owners_recorded = 0;
  inquiry.former_owner_replies.clear();
  inquiry.retry_at = TimePoint::max();
  if (inquiry.plan.owners.size() < kOwnersPerKey) {
    this->Finish(id, {ClaimDecision::kNotExecuted, {}});
    return;
  }
  std::set<std::string> former_owners;
  for (const auto& group : inquiry.plan.former_owner_groups) {
    former_owners.insert(group.begin(), group.end());
  }
  if (inquiry.is_look_up) {
    former_owners.insert(inquiry.plan.owners.begin(),
                         inquiry.plan.owners.end());
  } else {
    for (const std::string& owner : inquiry.plan.owners) {
      former_owners.erase(owner);
    }
  }
  const Claim claim{inquiry.request_id, ClaimState::kRunning, {}, {}};
  const std::string key_digest = inquiry.key_digest;
  for (const std::string& former_owner : former_owners) {
    this->Send(id, former_owner, ClaimAction::kLookUp, key_digest, claim);
  }
  this->Advance(id);
}

bool ClaimCoordinator::HaveFormerOwnersReplied(const Inquiry& inquiry) const {
  const auto has_none = [&](const std::string& name) {
    const auto status = inquiry.former_owner_replies.find(name);
    return status != inquiry.former_owner_replies.end() &&
           status->second == ClaimReplyStatus::kNotFound;
  };
  // A home that records the claim thereby states that it knew of none.
  const auto will_state = [&](const std::string& name) {
    return std::ranges::find(inquiry.plan.owners, name) !=
           inquiry.plan.owners.end();
  };
  return std::ranges::all_of(
      inquiry.plan.former_owner_groups, [&](const auto& group) {
        return std::ranges::any_of(group, has_none) ||
               (!inquiry.is_look_up && std::ranges::any_of(group, will_state));
      });
}

// Takes the next step once the present one is complete: first the witnesses,
// then the homes one after the other, so that of two requests with one key the
// first home decides.
void ClaimCoordinator::Advance(std::uint64_t id) {
  const auto found = this->inquiries.find(id);
  if (found == this->inquiries.end()) {
    return;
  }
  const Inquiry& inquiry = found->second;
  if (inquiry.is_look_up) {
    const bool has_owners =
        std::ranges::all_of(inquiry.plan.owners, [&](const std::string& owner) {
          return inquiry.former_owner_replies.contains(owner);
        });
    if (has_owners && this->HaveFormerOwnersReplied(inquiry)) {
      this->Finish(id, {ClaimDecision::kNotExecuted, {}});
    }
    return;
  }
  if (!this->HaveFormerOwnersReplied(inquiry)) {
    return;
  }
  if (inquiry.plan.history == ClaimHistory::kLost) {
    this->Finish(id, {ClaimDecision::kUnknown, {}});
    return;
  }
  if (inquiry.owners_recorded == inquiry.plan.owners.size()) {
    const bool is_same_view =
        inquiry.view_version == this->context.fleet.view.version;
    if (is_same_view && this->context.has_view_lease()) {
      this->Finish(id, {ClaimDecision::kMayExecute, {}});
      return;
    }
    this->Plan(id);
    return;
  }
  this->AskNextOwner(id, inquiry);
}

void ClaimCoordinator::AskNextOwner(std::uint64_t id, const Inquiry& inquiry) {
  const std::string& owner = inquiry.plan.owners[inquiry.owners_recorded];
  const bool is_asked =
      std::ranges::any_of(this->messages, [&](const auto& entry) {
        return entry.second.inquiry == id && entry.second.target == owner;
      });
  if (!is_asked) {
    const Claim claim{inquiry.request_id, ClaimState::kRunning, {}, {}};
    this->Send(id, owner, ClaimAction::kRecord, inquiry.key_digest, claim);
  }
}

void ClaimCoordinator::Finish(std::uint64_t id, const ClaimResult& result) {
  const auto found = this->inquiries.find(id);
  const Inquiry inquiry = std::move(found->second);
  this->inquiries.erase(found);
  std::erase_if(this->messages,
                [&](const auto& entry) { return entry.second.inquiry == id; });
  const bool must_abandon = !inquiry.is_look_up &&
                            result.decision != ClaimDecision::kMayExecute &&
                            inquiry.plan.owners.size() == kOwnersPerKey;
  if (must_abandon) {
    this->Abandon(inquiry.key_digest, inquiry.request_id);
  }
  inquiry.callback(result);
}

void ClaimCoordinator::Complete(const std::string& key_digest,
                                const Claim& outcome) {
  const ClaimPlan plan = PlanClaim(this->context.fleet, key_digest);
  for (const std::string& owner : plan.owners) {
    this->Send(0, owner, ClaimAction::kComplete, key_digest, outcome);
  }
}

void ClaimCoordinator::Abandon(const std::string& key_digest,
                               const std::string& request_id) {
  const ClaimPlan plan = PlanClaim(this->context.fleet, key_digest);
  const Claim claim{request_id, ClaimState::kRunning, {}, {}};
  for (const std::string& owner : plan.owners) {
    this->Send(0, owner, ClaimAction::kAbandon, key_digest, claim);
  }
}

void ClaimCoordinator::Send(std::uint64_t inquiry,
                            const std::string& target,
                            ClaimAction action,
                            const std::string& key_digest,
                            const Claim& outcome) {
  OpenMessage message;
  message.inquiry = inquiry;
  message.target = target;
  message.request = {this->context.settings.advertised_peer_address,
                     this->context.NextNonce(),
                     action,
                     key_digest,
                     this->context.fleet.view.version,
                     outcome};
  if (this->context.is_self(target)) {
    const ClaimReply reply = this->AnswerAsOwner(message.request);
    this->UseReply(message, reply);
    return;
  }
  const std::uint64_t nonce = message.request.nonce;
  this->Transmit(this->messages[nonce] = std::move(message));
}

void ClaimCoordinator::Transmit(OpenMessage& message) {
  message.sent_at = this->context.Now();
  ++message.tries;
  this->context.peer_transport->Send(
      this->context.PeerAddressOf(message.target), "claim",
      ToJson(message.request));
}

ClaimReply ClaimCoordinator::AnswerAsOwner(const ClaimRequest& request) {
  if (this->claim_table_incarnation != this->context.incarnation) {
    // Memories end with the incarnation, as the view says.
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
  const bool may_answer =
      this->context.has_view_lease() &&
      request.view_version == this->context.fleet.view.version;
  if (!may_answer) {
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
                                     ToJson(this->AnswerAsOwner(request)));
}

void ClaimCoordinator::OnReply(const Json::Value& parameters) {
  const ClaimReply reply = ClaimReplyFromJson(parameters);
  const auto found = this->messages.find(reply.nonce);
  if (found == this->messages.end() || found->second.target != reply.sender) {
    return;
  }
  const OpenMessage message = std::move(found->second);
  this->messages.erase(found);
  this->UseReply(message, reply);
}

void ClaimCoordinator::UseReply(const OpenMessage& message,
                                const ClaimReply& reply) {
  const auto found = this->inquiries.find(message.inquiry);
  if (found == this->inquiries.end()) {
    return;
  }
  Inquiry& inquiry = found->second;
  switch (reply.status) {
    case ClaimReplyStatus::kTaken:
      this->Finish(message.inquiry, {ClaimDecision::kTaken, reply.existing});
      return;
    case ClaimReplyStatus::kRecorded:
      ++inquiry.owners_recorded;
      this->Advance(message.inquiry);
      return;
    case ClaimReplyStatus::kNotFound:
      inquiry.former_owner_replies[reply.sender] = reply.status;
      this->Advance(message.inquiry);
      return;
    case ClaimReplyStatus::kRejected:
      // The views differ for a moment; the inquiry starts anew.
      inquiry.retry_at = this->context.Now() + kReplanDelay;
      return;
    case ClaimReplyStatus::kAcknowledged:
      return;
  }
}

void ClaimCoordinator::Tick() {
  const TimePoint now = this->context.Now();
  this->claim_table = RemoveExpiredClaims(std::move(this->claim_table), now);
  std::erase_if(this->messages, [&](const auto& entry) {
    return entry.second.tries >= kMostTries &&
           now - entry.second.sent_at >= kResendInterval;
  });
  for (auto& [nonce, message] : this->messages) {
    if (now - message.sent_at >= kResendInterval) {
      this->Transmit(message);
    }
  }
  std::vector<std::uint64_t> late;
  std::vector<std::uint64_t> due;
  for (const auto& [id, inquiry] : this->inquiries) {
    if (now >= inquiry.give_up_at) {
      late.push_back(id);
    } else if (now >= inquiry.retry_at) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : late) {
    this->Finish(id, {ClaimDecision::kNotExecuted, {}});
  }
  for (const std::uint64_t id : due) {
    if (this->inquiries.contains(id)) {
      this->Plan(id);
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
      this->Send(0, owner, ClaimAction::kComplete, key, claim);
    }
  }
}

}  // namespace parsleyquay
