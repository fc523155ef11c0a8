#ifndef PARSLEYQUAY_GATEWAY_ALLOWANCE_DESK_H_
#define PARSLEYQUAY_GATEWAY_ALLOWANCE_DESK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "allowance/allowance_home.h"
#include "allowance/duty_eligibility.h"
#include "allowance/spare_share.h"
#include "event/timer.h"
#include "gateway/gateway_context.h"

namespace parsleyquay {

// What a decision of the rate limiter was based on.
enum class AllowanceSource {
  kNoLimit,   // the workspace has no rate limit
  kOwnHome,   // the token bucket on this instance
  kPeerHome,  // the token bucket on another instance
  kSpare,     // the fallback share, since no owner was reachable
};

struct AllowanceVerdict {
  bool is_granted = false;
  AllowanceSource source = AllowanceSource::kNoLimit;
  // If the request is denied, when the client should retry.
  Duration retry_after = Duration(0);

  bool operator==(const AllowanceVerdict&) const = default;
};

// The source's name in the log.
std::string_view AllowanceSourceName(AllowanceSource source);

// Enforces each workspace's rate limit across all instances. The workspaces are
// hashed onto numbered shards, and the store assigns each shard to one instance
// at a time, its owner. The owner keeps the token buckets of the shard's
// workspaces and grants the requests of all instances one by one. An instance
// that reaches no owner decides by its fallback share, which is its part of the
// overshoot that the fleet limits tolerate. The parts of all instances add up
// to that overshoot, so that the fleet keeps its limits during any network
// partition.
class AllowanceDesk {
 public:
  using OnVerdict = std::function<void(const AllowanceVerdict&)>;

  // Calls `on_ownership_change` when a new assignment by the store has changed
  // the set of owned shards.
  AllowanceDesk(GatewayContext& context,
                std::function<void()> on_ownership_change);

  // Begins to join and leave the group of shard owners according to this
  // instance's rank among the members of its failure domain.
  void Start();

  // The methods of the messages between requesting instances and owners.
  static std::vector<std::string> Methods();

  // Requests one token of the workspace. Waits up to `max_token_wait` until the
  // bucket has a token, and up to `max_owner_wait` for a reachable owner. May
  // call `on_decision` before it returns. A configuration must be known.
  void Ask(const std::string& workspace,
           Duration max_token_wait,
           Duration max_owner_wait,
           OnVerdict on_decision);

  // Handles a message of one of the methods above.
  void OnMessage(const std::string& method, const Json::Value& parameters);

  // Creates the buckets of workspaces that a new configuration has added.
  void OnConfiguration();

  // The numbers of the shards that this instance owns now.
  std::vector<long> HeldDuties() const;

  // Leaves the group of shard owners and gives up all shards.
  void Leave();

 private:
  // A token request that waits for a reply, an owner or its token.
  struct PendingRequest {
    std::string workspace;
    Duration max_token_wait = Duration(0);
    OnVerdict on_decision;
    int send_attempts = 0;
    TimePoint owner_deadline;  // no owner is searched for afterwards
    std::unique_ptr<Timer> timer;
  };

  void UpdateParticipation();
  DutyStanding OwnStanding() const;
  bool has_unowned_shard() const;
  void ReleaseAssignment();
  void RenewAssignment();
  void OnAssignment(std::optional<DutyAssignment> assigned,
                    TimePoint sent_at,
                    Duration lifetime);
  long ShardOf(const std::string& workspace) const;
  bool IsOwned(long shard) const;
  std::optional<std::string> OwnerAddressOf(long shard) const;
  AllowanceVerdict DecideByFallbackShare(const std::string& workspace);
  void DecideLocally(const std::string& workspace,
                     Duration max_token_wait,
                     OnVerdict on_decision);
  void SendTokenRequest(std::uint64_t id);
  void OnOwnerUnreachable(std::uint64_t id);
  void RetryTokenRequest(std::uint64_t id);
  void OnReplyTimeout(std::uint64_t id);
  void OnTokenRequest(const Json::Value& parameters);
  void OnTokenReply(const Json::Value& parameters);
  void Complete(std::uint64_t id, const AllowanceVerdict& decision);
  void GrantAfter(std::uint64_t id, Duration delay, AllowanceSource source);
  const WorkspaceTerms& TermsOf(const std::string& workspace) const;

  GatewayContext& context;
  std::function<void()> on_ownership_change;
  Timer renew_timer;
  Timer participation_timer;
  DutyEligibility eligibility;
  TimePoint started_at;
  // An assignment of an earlier incarnation was released or taken over.
  bool has_resolved_previous_assignment = false;
  DutyAssignment assignment;
  TimePoint assigned_until;
  AllowanceHome token_buckets;  // of the workspaces in owned shards
  std::map<std::string, SlidingWindow> fallback_uses;  // by workspace
  std::map<std::uint64_t, PendingRequest> pending_requests;
  std::uint64_t next_request_id = 1;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_ALLOWANCE_DESK_H_
