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

// A view for which all rights of earlier views are known to have lapsed.
struct EarlierLeaseExpiry {
  std::uint64_t version = 0;
  TimePoint expired_at;

  bool operator==(const EarlierLeaseExpiry&) const = default;
};

// What a former home told its successor: that it stopped after a view, and
// what was left in the shares that it had used.
struct HandoverSummary {
  std::string sender;
  std::string incarnation;
  std::uint64_t last_view = 0;  // the newest view in which the sender acted
  // The sender was entitled to a share if it was its home in every view from
  // this one on; its untouched shares have been filling since then.
  std::uint64_t takeover_view = 0;
  TimePoint takeover_at;
  std::map<std::string, double> levels;  // by share key

  bool operator==(const HandoverSummary&) const = default;
};

// Newest complete summary of each sender.
using HandoverSummaries = std::map<std::string, HandoverSummary>;

// The level at which `self` may start to act as home of a share, or nothing
// while it may not. It may when the rights of all earlier homes have lapsed,
// or when the one home before it has said that it stopped.
std::optional<double> FindInitialLevel(
    const FleetState& fleet,
    const std::string& self,
    const std::string& shard_key,
    ShardLimits limits,
    const std::optional<EarlierLeaseExpiry>& expiry,
    const HandoverSummaries& summaries,
    TimePoint now);

// The home of a share in the present view, "" when there are no members.
std::string FindShardOwner(const View& view, const std::string& shard_key);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LIMITS_SHARD_TAKEOVER_H_
