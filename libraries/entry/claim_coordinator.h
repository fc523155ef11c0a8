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
  // Every owner has recorded the claim; the request may be sent once.
  kMayExecute,
  // Another request holds the claim.
  kTaken,
  // The key's owners did not all record the claim in time, or there are too few
  // members. Nothing was sent.
  kNotExecuted,
  // All owners that the key had under some earlier view have left or restarted.
  // They may have stored a claim, so an earlier request with this key may have
  // been executed.
  kUnknown,
};

struct ClaimResult {
  ClaimDecision decision = ClaimDecision::kNotExecuted;
  Claim existing;  // set if the decision is kTaken
};

// Makes sure that at most one of a workspace's non-idempotent requests with the
// same idempotency key is sent to a backend server, for as long as claims are
// retained. Before a request is sent, a claim for its key is recorded at the
// key's owners, the members that rendezvous hashing assigns to it. This class
// makes the claims for requests of this instance and, as an owner, stores
// claims of all instances.
class ClaimCoordinator {
 public:
  using Callback = std::function<void(const ClaimResult&)>;

  explicit ClaimCoordinator(EntryContext& context);

  void Start();

  // Claims a key for a request. Calls `callback` once, at the latest when the
  // claim times out.
  void AcquireClaim(const std::string& key_digest,
                    const std::string& request_id,
                    Callback callback);

  // Looks up the claim of a key without making one. The decision is kTaken,
  // with the stored claim, if there is one. It is kNotExecuted if none is found
  // or the owners do not reply in time, which does not tell whether a request
  // was executed.
  void LookUp(const std::string& key_digest, Callback callback);

  // Records at the key's owners how the request that holds the claim has ended.
  void Complete(const std::string& key_digest, const Claim& outcome);

  // Removes the claim of a request that was never sent.
  void Abandon(const std::string& key_digest, const std::string& request_id);

  void OnRequest(const Json::Value& parameters);
  void OnReply(const Json::Value& parameters);

  // Sends each claim stored here to the members that will own its key after
  // this instance has left the view.
  void HandOverClaims();

 private:
  // One claim or look-up in progress.
  struct ClaimOperation {
    std::string key_digest;
    std::string request_id;
    Callback callback;
    ClaimPlan plan;
    std::uint64_t view_version = 0;
    bool is_look_up = false;
    TimePoint deadline;
    TimePoint retry_at = TimePoint::max();
    std::size_t owners_recorded = 0;
    // By member name; holds only replies that state that there is no claim.
    std::map<std::string, ClaimReplyStatus> look_up_replies;
  };

  struct PendingMessage {
    std::uint64_t operation = 0;  // 0 if no operation waits for the reply
    std::string target;
    ClaimRequest request;
    TimePoint sent_at;
    int attempts = 0;
  };

  void AddOperation(ClaimOperation operation);
  void StartOperation(std::uint64_t id);
  void AdvanceOperation(std::uint64_t id);
  void RecordAtNextOwner(std::uint64_t id, const ClaimOperation& operation);
  void FinishOperation(std::uint64_t id, const ClaimResult& result);
  void SendClaimRequest(std::uint64_t operation,
                        const std::string& target,
                        ClaimAction action,
                        const std::string& key_digest,
                        const Claim& claim);
  void Transmit(PendingMessage& message);
  ClaimReply HandleAsOwner(const ClaimRequest& request);
  void HandleReply(const PendingMessage& message, const ClaimReply& reply);
  void HandleFormerOwnerReply(std::uint64_t id,
                              const std::string& name,
                              const ClaimReply& reply);
  bool HasCheckedFormerOwners(const ClaimOperation& operation) const;
  void Tick();

  EntryContext& context;
  Timer timer;
  ClaimTable claim_table;
  std::uint64_t next_operation_id = 0;
  std::map<std::uint64_t, ClaimOperation> operations;
  std::map<std::uint64_t, PendingMessage> pending_messages;  // by nonce
  std::string claim_table_incarnation;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_CLAIM_COORDINATOR_H_
