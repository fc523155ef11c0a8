#ifndef PARSLEYQUAY_GATEWAY_WORKSPACE_RATE_LIMITER_H_
#define PARSLEYQUAY_GATEWAY_WORKSPACE_RATE_LIMITER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "event/timer.h"
#include "gateway/gateway_context.h"
#include "gateway/shard_owner_log.h"
#include "rate_limiting/fallback_quota.h"
#include "rate_limiting/shard_owner_eligibility.h"
#include "rate_limiting/shard_ownership.h"
#include "rate_limiting/token_reserve.h"
#include "rate_limiting/workspace_token_buckets.h"

namespace parsleyquay {

// What a decision of the rate limiter was based on.
enum class RateLimitSource {
  kNoLimit,        // the workspace has no rate limit
  kLocalOwner,     // the token bucket on this instance
  kRemoteOwner,    // the token bucket on another instance
  kFallbackQuota,  // the fallback quota, since no owner was reachable
};

struct RateLimitDecision {
  bool is_granted = false;
  RateLimitSource source = RateLimitSource::kNoLimit;
  // If the request is denied, when the client should retry.
  Duration retry_after = Duration(0);

  bool operator==(const RateLimitDecision&) const = default;
};

// A request for one token of a workspace.
struct TokenRequest {
  std::string workspace;
  int priority = 0;  // of the request's route; 0 is the highest
  // How long the request may wait until the bucket has a token.
  Duration max_token_wait = Duration(0);
  Duration max_owner_wait = Duration(0);  // for a reachable owner

  bool operator==(const TokenRequest&) const = default;
};

// The source's name in the log.
std::string_view RateLimitSourceName(RateLimitSource source);

// Enforces each workspace's rate limit across all instances. The workspaces are
// hashed onto numbered shards, and the store assigns each shard to one instance
// at a time, its owner. The owner keeps the token buckets of the shard's
// workspaces and decides on the token requests of all instances. The store may
// assign a shard anew before the earlier owner learns of it. Therefore an owner
// grants no tokens while another live instance claims the shard, or a silent
// one may still hold its lease, and gives the shard up if a live claim is newer
// than its own last renewal. An instance
// that reaches no owner decides by its fallback quota, which is its part of the
// overshoot that the fleet limits tolerate. The parts of all instances add up
// to that overshoot, so that the fleet keeps its limits during any network
// partition. Each part is used by one process in a window, so that the limits
// also hold when instances restart.
class WorkspaceRateLimiter {
 public:
  using OnDecision = std::function<void(const RateLimitDecision&)>;

  // Calls `on_ownership_change` when a new assignment by the store has changed
  // the set of owned shards.
  WorkspaceRateLimiter(GatewayContext& context,
                       std::function<void()> on_ownership_change);

  // From now on, joins or leaves the group of shard owners whenever this
  // instance's rank among the members of its failure domain changes.
  void Start();

  // The methods of the messages between requesting instances and owners.
  static std::vector<std::string> MessageMethods();

  // Requests one token of the workspace. May call `on_decision` before it
  // returns. A configuration must be known.
  void RequestToken(const TokenRequest& request, OnDecision on_decision);

  // Handles a message of one of the methods above.
  void OnMessage(const std::string& method, const Json::Value& parameters);

  // Creates the buckets of workspaces that a new configuration has added.
  void OnConfigurationChange();

  // The numbers of the shards that this instance owns now.
  std::vector<long> OwnedShards() const;

  // Returns whether this instance owns the shard to which the name of a
  // workspace or service hashes.
  bool OwnsShardOf(const std::string& name) const;

  // Returns the number of shards of which no live instance is known to be the
  // owner.
  std::uint64_t CountShardsWithoutOwner() const;

  // Gives up the shards that another instance has claimed since the store last
  // confirmed them to this one. Called when members' claims may have changed.
  void GiveUpSupersededShards();

  // Gives up all shards for good, when this instance shuts down.
  void StopOwningShards();

 private:
  // A token request that waits for a reply, an owner or its token.
  struct PendingRequest {
    TokenRequest token;
    OnDecision on_decision;
    int send_attempts = 0;
    TimePoint owner_deadline;  // no owner is searched for afterwards
    std::unique_ptr<Timer> timer;
  };

  void UpdateEligibilityAndLease();
  ShardOwnerConditions OwnConditions() const;
  bool has_unowned_shard() const;
  Duration LeaseDuration() const;
  void ReleaseShardLease();
  void RenewShardLease();
  void OnNewEra(std::uint64_t era);
  void OnAssignment(std::optional<ShardAssignment> assigned,
                    TimePoint sent_at,
                    Duration lifetime);
  long ShardOf(const std::string& workspace) const;
  bool IsOwned(long shard) const;
  std::optional<std::string> OwnerAddressOf(long shard) const;
  RateLimitDecision DecideByFallbackQuota(const std::string& workspace);
  void DecideLocally(const TokenRequest& request, OnDecision on_decision);
  TokenReservation ReserveOwnToken(const TokenRequest& request);
  void SendTokenRequest(std::uint64_t id);
  void OnOwnerUnreachable(std::uint64_t id, ShardOwnerState state);
  void RecordOwnerState(long shard, ShardOwnerState state);
  void RetryTokenRequest(std::uint64_t id);
  void OnReplyTimeout(std::uint64_t id);
  void OnTokenRequest(const Json::Value& parameters);
  void OnTokenReply(const Json::Value& parameters);
  void Complete(std::uint64_t id, const RateLimitDecision& decision);
  void GrantAfter(std::uint64_t id, Duration delay, RateLimitSource source);
  const WorkspaceConfiguration& ConfigurationOf(
      const std::string& workspace) const;

  GatewayContext& context;
  std::function<void()> on_ownership_change;
  Timer renew_timer;
  Timer eligibility_timer;
  ShardOwnerEligibility eligibility;
  TimePoint started_at;
  // An assignment of an earlier incarnation was released or taken over.
  bool has_resolved_previous_lease = false;
  ShardOwnership ownership;
  std::uint64_t ownership_era = 0;  // of the store, in which it was confirmed
  WorkspaceTokenBuckets token_buckets;  // of the workspaces in owned shards
  std::map<std::string, TokenDemand> token_demands;    // by workspace, as above
  std::map<std::string, SlidingWindow> fallback_uses;  // by workspace
  ShardOwnerLog owner_log;
  std::map<std::uint64_t, PendingRequest> pending_requests;
  std::uint64_t next_request_id = 1;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_WORKSPACE_RATE_LIMITER_H_
