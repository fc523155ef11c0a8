#ifndef PARSLEYQUAY_LIMITS_SHARD_TAKEOVER_H_
#define PARSLEYQUAY_LIMITS_SHARD_TAKEOVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "fleet/fleet_state.h"
#include "limits/token_bucket_shard.h"

namespace parsleyquay {

// States that the leases of all views before `version` had expired at
// `expired_at`, by the local clock.
struct EarlierLeaseExpiry {
  std::uint64_t version = 0;
  TimePoint expired_at;

  bool operator==(const EarlierLeaseExpiry&) const = default;
};

// A former owner's statement to its successor: it no longer uses shards that
// pass to other owners after `last_view`, and had these tokens left in them.
struct HandoverSummary {
  std::string sender;
  std::string incarnation;
  std::uint64_t last_view = 0;  // newest view in which the sender was an owner
  // The sender was allowed to use a shard if it owned it in every view from
  // this one to `last_view`. A shard without an entry in `levels` was never
  // used by the sender and has been filling since `takeover_at`.
  std::uint64_t takeover_view = 0;
  TimePoint takeover_at;  // when the leases of earlier owners had expired
  std::map<std::string, double> levels;  // tokens left, by shard key

  bool operator==(const HandoverSummary&) const = default;
};

// The newest complete summary of each sender, by its name.
using HandoverSummaries = std::map<std::string, HandoverSummary>;

// Returns the level in tokens at which `self` may start to use a shard as its
// owner, or std::nullopt if it may not yet. It may once the leases of all
// earlier owners have expired, or once its only predecessor has handed the
// shard over.
std::optional<double> FindInitialLevel(
    const FleetState& fleet,
    const std::string& self,
    const std::string& shard_key,
    ShardLimits limits,
    const std::optional<EarlierLeaseExpiry>& expiry,
    const HandoverSummaries& summaries,
    TimePoint now);

// Returns the owner of a shard in the view, or "" if the view has no members.
std::string FindShardOwner(const View& view, const std::string& shard_key);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LIMITS_SHARD_TAKEOVER_H_
