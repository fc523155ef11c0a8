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

// Spends the tokens of workspaces: from the shares whose home this instance
// is, else by grants of their homes. Also serves as home for others.
class WorkspaceRateLimiter {
 public:
  using Callback = std::function<void(const TokenResult&)>;

  explicit WorkspaceRateLimiter(EntryContext& context);

  void Start();

  // Takes one token of the workspace, waiting at most until `give_up_at`.
  // Returns an id to cancel with; 0 when the answer was given at once.
  std::uint64_t RequestToken(const std::string& workspace,
                             TimePoint give_up_at,
                             Callback callback);
  void Cancel(const std::string& workspace, std::uint64_t id);

  // To be called when the log has changed the fleet's state.
  void OnFleetChanged();

  void OnBorrowRequest(const Json::Value& parameters);
  void OnBorrowReply(const Json::Value& parameters);
  void OnHandover(const Json::Value& parameters);

  // Stops acting as home and tells every other member what is left.
  void HandOverShards();

 private:
  struct Waiter {
    std::uint64_t id = 0;
    TimePoint give_up_at;
    Callback callback;
  };

  // What is known of a share whose home is another instance.
  struct RemoteShard {
    std::uint64_t nonce = 0;  // of the request on its way, or 0
    TimePoint asked_at;
    TimePoint not_before;  // when to ask again
    bool is_silent = false;
  };

  struct WorkspaceTokens {
    std::deque<Waiter> waiters;
    GrantedTokens granted;
    std::map<std::size_t, RemoteShard> remote_shards;
    TimePoint retry_at = TimePoint::max();
  };

  struct BorrowInFlight {
    std::string workspace;
    std::size_t shard = 0;
    TimePoint asked_at;
  };

  void Tick();
  void Pump(const std::string& workspace);
  void ServeFromGrantedTokens(WorkspaceTokens& tokens);
  void ServeAsOwner(const std::string& workspace, WorkspaceTokens& tokens);
  void Borrow(const std::string& workspace, WorkspaceTokens& tokens);
  void SendBorrow(const std::string& workspace,
                  std::size_t shard,
                  const std::string& owner,
                  long wanted,
                  WorkspaceTokens& tokens);
  void GiveUpLate(WorkspaceTokens& tokens);
  void ExpireBorrows();
  void AnswerFront(WorkspaceTokens& tokens, TokenResult result);

  // The share at this instance if it may act as its home now.
  TokenBucketShard* FindOwnShard(const std::string& workspace,
                                 std::size_t index);
  std::optional<Workspace> FindWorkspace(const std::string& name) const;
  void UpdateEarlierLeaseExpiry();
  void SendSummary(const std::string& member,
                   std::uint64_t last_view,
                   const std::map<std::string, double>& levels);
  void AcceptPart(const HandoverPart& part);

  EntryContext& context;
  Timer timer;
  std::uint64_t next_id = 0;
  std::map<std::string, WorkspaceTokens> workspaces;
  std::map<std::uint64_t, BorrowInFlight> borrows;
  std::map<std::string, TokenBucketShard> own_shards;  // by share key
  std::optional<EarlierLeaseExpiry> earlier_lease_expiry;
  HandoverSummaries summaries;
  struct PartialSummary {
    HandoverSummary summary;
    std::set<std::uint64_t> parts;
  };
  std::map<std::string, PartialSummary> partial_summaries;
  View acted_view;  // the view by which this instance last acted as home
  bool has_handed_over = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_WORKSPACE_RATE_LIMITER_H_
