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
#include "rate_limiting/fallback_quota.h"
#include "rate_limiting/shard_owner_eligibility.h"
#include "rate_limiting/workspace_token_buckets.h"

namespace parsleyquay {

// Who decided on a request's allowance.
enum class RateLimitSource {
  kNoLimit,
  kLocalOwner,     // this instance meters the workspace
  kRemoteOwner,    // another one does
  kFallbackQuota,  // no home was in reach
};

struct RateLimitDecision {
  bool is_granted = false;
  RateLimitSource source = RateLimitSource::kNoLimit;
  Duration retry_after = Duration(0);

  bool operator==(const RateLimitDecision&) const = default;
};

std::string_view RateLimitSourceName(RateLimitSource source);

// Keeps each workspace within its rate over all instances. The workspaces are
// spread over numbered duties; who holds a duty is the home of its workspaces
// and grants their requests one by one. Where no home can be reached, an
// instance spends its own small share of what the bounds tolerate beyond the
// rate, so that the sum holds whatever is cut.
class WorkspaceRateLimiter {
 public:
  using OnDecision = std::function<void(const RateLimitDecision&)>;

  // `on_shards` is called when the duties that are held have changed.
  WorkspaceRateLimiter(GatewayContext& context,
                       std::function<void()> on_shards);

  // From now on takes up, or lays down, duties by this instance's standing.
  void Start();

  // The methods of its messages.
  static std::vector<std::string> MessageMethods();

  // Asks for one request; a request without a token may wait up to `patience`,
  // and one whose workspace has no home in reach up to `owner_patience` for
  // one. The verdict may come before the function returns.
  void RequestToken(const std::string& workspace,
                    Duration patience,
                    Duration owner_patience,
                    OnDecision on_decision);

  void OnMessage(const std::string& method, const Json::Value& parameters);

  // Begins to meter what a new configuration brought.
  void OnConfigurationChange();

  // The duties that are held now, each to one instance at a time.
  std::vector<long> OwnedShards() const;

  // Hands the duties back.
  void ReleaseShards();

 private:
  struct PendingAsk {
    std::string workspace;
    Duration patience = Duration(0);
    OnDecision on_decision;
    int sendings = 0;
    TimePoint give_up_at;  // when no home was found until then
    std::unique_ptr<Timer> timer;
  };

  void Reconsider();
  ShardOwnerConditions OwnConditions() const;
  bool is_some_shard_orphaned() const;
  void HandBack();
  void Renew();
  void OnAssignment(std::optional<ShardAssignment> assignment,
                    TimePoint sent_at,
                    Duration lifetime);
  long ShardOf(const std::string& workspace) const;
  bool IsHeld(long shard) const;
  std::optional<std::string> OwnerAddressOf(long shard) const;
  RateLimitDecision ConsumeFallbackRequest(const std::string& workspace);
  void AnswerFromOwnBuckets(const std::string& workspace,
                            Duration patience,
                            OnDecision on_decision);
  void SendAsk(std::uint64_t id);
  void OnNoOwner(std::uint64_t id);
  void AskAgain(std::uint64_t id);
  void OnAskTimeout(std::uint64_t id);
  void OnAsk(const Json::Value& parameters);
  void OnGrant(const Json::Value& parameters);
  void Answer(std::uint64_t id, const RateLimitDecision& decision);
  void GrantAfter(std::uint64_t id, Duration delay, RateLimitSource source);
  const WorkspaceConfiguration& ConfigurationOf(
      const std::string& workspace) const;

  GatewayContext& context;
  std::function<void()> on_shards;
  Timer renew_timer;
  Timer conditions_timer;
  ShardOwnerEligibility eligibility;
  TimePoint started_at;
  bool has_given_back = false;  // what an earlier life of this process held
  ShardAssignment assignment;
  TimePoint held_until;
  WorkspaceTokenBuckets token_buckets;
  std::map<std::string, SlidingWindow> fallback_uses;
  std::map<std::uint64_t, PendingAsk> pending;
  std::uint64_t next_ask = 1;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_WORKSPACE_RATE_LIMITER_H_
