#ifndef PARSLEYQUAY_ENTRY_CLAIM_COORDINATOR_H_
#define PARSLEYQUAY_ENTRY_CLAIM_COORDINATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/entry_context.h"
#include "event/timer.h"
#include "idempotency/claim_message.h"
#include "idempotency/claim_plan.h"
#include "idempotency/claim_table.h"

namespace parsleyquay {

enum class ClaimDecision {
  kMayExecute,   // the claim stands; the request may be sent once
  kTaken,        // another request holds the claim
  kNotExecuted,  // the homes could not be asked; nothing was sent
  kUnknown,      // earlier claims may have been forgotten
};

struct ClaimResult {
  ClaimDecision decision = ClaimDecision::kNotExecuted;
  Claim existing;  // when taken
};

// Has idempotency keys remembered by their homes before a request runs, and is
// home for others.
class ClaimCoordinator {
 public:
  using Callback = std::function<void(const ClaimResult&)>;

  explicit ClaimCoordinator(EntryContext& context);

  void Start();

  // Claims a key for a request. `callback` is called once.
  void AcquireClaim(const std::string& key_digest,
                    const std::string& request_id,
                    Callback callback);

  // Asks what became of a key; kTaken with what is remembered, kNotExecuted
  // when nothing is.
  void LookUp(const std::string& key_digest, Callback callback);

  // Tells the homes how the request ended, or that it was never sent.
  void Complete(const std::string& key_digest, const Claim& outcome);
  void Abandon(const std::string& key_digest, const std::string& request_id);

  void OnRequest(const Json::Value& parameters);
  void OnReply(const Json::Value& parameters);

  // Copies every claim to the homes of the view without this instance.
  void HandOverClaims();

 private:
  // One claim or look-up on its way.
  struct Inquiry {
    std::string key_digest;
    std::string request_id;
    Callback callback;
    ClaimPlan plan;
    std::uint64_t view_version = 0;
    bool is_look_up = false;
    TimePoint give_up_at;
    TimePoint retry_at = TimePoint::max();
    std::size_t owners_recorded = 0;
    std::map<std::string, ClaimReplyStatus> former_owner_replies;
  };

  struct OpenMessage {
    std::uint64_t inquiry = 0;  // 0: a settlement that nobody waits for
    std::string target;
    ClaimRequest request;
    TimePoint sent_at;
    int tries = 0;
  };

  void Begin(Inquiry inquiry);
  void Plan(std::uint64_t id);
  void Advance(std::uint64_t id);
  void AskNextOwner(std::uint64_t id, const Inquiry& inquiry);
  void Finish(std::uint64_t id, const ClaimResult& result);
  void Send(std::uint64_t inquiry,
            const std::string& target,
            ClaimAction action,
            const std::string& key_digest,
            const Claim& outcome);
  void Transmit(OpenMessage& message);
  ClaimReply AnswerAsOwner(const ClaimRequest& request);
  void UseReply(const OpenMessage& message, const ClaimReply& reply);
  void UseFormerOwnerReply(std::uint64_t id,
                           const std::string& former_owner,
                           const ClaimReply& reply);
  bool HaveFormerOwnersReplied(const Inquiry& inquiry) const;
  void Tick();

  EntryContext& context;
  Timer timer;
  ClaimTable claim_table;
  std::uint64_t next_inquiry = 0;
  std::map<std::uint64_t, Inquiry> inquiries;
  std::map<std::uint64_t, OpenMessage> messages;  // by nonce
  std::string claim_table_incarnation;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_CLAIM_COORDINATOR_H_
