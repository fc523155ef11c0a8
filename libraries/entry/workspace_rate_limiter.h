#ifndef PARSLEYQUAY_ENTRY_WORKSPACE_RATE_LIMITER_H_
#define PARSLEYQUAY_ENTRY_WORKSPACE_RATE_LIMITER_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/entry_context.h"
#include "event/timer.h"
#include "limits/granted_tokens.h"
#include "limits/limit_message.h"
#include "limits/shard_takeover.h"
#include "limits/token_bucket_shard.h"

namespace parsleyquay {

enum class TokenStatus { kSpent, kRateLimited, kOwnersUnavailable };

struct TokenResult {
  TokenStatus status = TokenStatus::kOwnersUnavailable;
  Duration retry_after = Duration(0);
};

// Enforces the rate limits of workspaces across the fleet. The token bucket of
// a workspace is split into shards, each owned by the member that rendezvous
// hashing assigns to it. A request uses a token that another owner has granted
// to this instance, or one of a shard owned here; without either, tokens are
// borrowed from the other owners. Also grants tokens of the shards owned here
// to other instances.
class WorkspaceRateLimiter {
 public:
  using Callback = std::function<void(const TokenResult&)>;

  explicit WorkspaceRateLimiter(EntryContext& context);

  void Start();

  // Requests one token of the workspace and waits for it at most until
  // `deadline`. Returns an id for Cancel(), 0 if the workspace is unknown or
  // too many requests wait already.
  //
  // NOTE: `callback` may run before this returns.
  std::uint64_t RequestToken(const std::string& workspace,
                             TimePoint deadline,
                             Callback callback);
  void Cancel(const std::string& workspace, std::uint64_t id);

  // To be called after the fleet's state has changed.
  void OnFleetChanged();

  void OnBorrowRequest(const Json::Value& parameters);
  void OnBorrowReply(const Json::Value& parameters);
  void OnHandover(const Json::Value& parameters);

  // Stops spending and granting tokens of the shards owned here, and sends each
  // other member the levels of those that it will own.
  void HandOverShards();

 private:
  struct Waiter {
    std::uint64_t id = 0;
    TimePoint deadline;
    Callback callback;
  };

  // State of a shard that another instance owns.
  struct RemoteShard {
    std::uint64_t nonce = 0;  // of the pending request, or 0
    TimePoint requested_at;
    TimePoint retry_not_before;  // earliest time of the next request
    // The last request timed out, or its receiver was not the owner.
    bool is_unresponsive = false;
  };

  struct WorkspaceState {
    std::deque<Waiter> waiters;
    GrantedTokens granted_tokens;
    std::map<std::size_t, RemoteShard> remote_shards;
    TimePoint retry_at = TimePoint::max();
  };

  struct PendingBorrow {
    std::string workspace;
    std::size_t shard = 0;
    TimePoint requested_at;
  };

  void Tick();
  void ServeWaiters(const std::string& workspace);
  void SpendGrantedTokens(WorkspaceState& state);
  void SpendOwnedTokens(const std::string& workspace, WorkspaceState& state);
  void BorrowTokens(const std::string& workspace, WorkspaceState& state);
  void SendBorrowRequest(const std::string& workspace,
                         std::size_t shard,
                         const std::string& owner,
                         long wanted,
                         WorkspaceState& state);
  void FailExpiredWaiters(WorkspaceState& state);
  void ExpireBorrowRequests();
  void CompleteFront(WorkspaceState& state, TokenResult result);

  // Returns the shard if this instance owns it and may use it now, else
  // nullptr.
  TokenBucketShard* FindOwnedShard(const std::string& workspace,
                                   std::size_t index);
  std::optional<Workspace> FindWorkspace(const std::string& name) const;
  void UpdateEarlierLeaseExpiry();
  void SendHandover(const std::string& member,
                    std::uint64_t last_view,
                    const std::map<std::string, double>& levels);
  void AcceptHandoverPart(const HandoverPart& part);

  EntryContext& context;
  Timer timer;
  std::uint64_t next_id = 0;
  std::map<std::string, WorkspaceState> workspaces;
  std::map<std::uint64_t, PendingBorrow> pending_borrows;
  std::map<std::string, TokenBucketShard> owned_shards;  // by shard key
  std::optional<EarlierLeaseExpiry> earlier_lease_expiry;
  HandoverSummaries summaries;
  struct PartialHandover {
    HandoverSummary summary;
    std::set<std::uint64_t> received_parts;
  };
  std::map<std::string, PartialHandover> partial_handovers;
  // The newest view to which the state above has been adjusted.
  View applied_view;
  bool has_handed_over = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_WORKSPACE_RATE_LIMITER_H_
