#ifndef PARSLEYQUAY_RATE_LIMITING_SHARD_OWNERSHIP_H_
#define PARSLEYQUAY_RATE_LIMITING_SHARD_OWNERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// The shards that the store has assigned to this instance.
struct ShardOwnership {
  std::uint64_t generation = 0;  // changes with every reassignment
  std::vector<long> shards;
  TimePoint confirmed_at;  // when the newest successful renewal was sent
  TimePoint expires_at;
  // When the renewal was sent whose response first contained the shard, for
  // each of `shards`.
  std::map<long, TimePoint> assigned_since;

  bool operator==(const ShardOwnership&) const = default;
};

// What this instance knows of the other instances that may own a shard.
struct ShardClaims {
  // When a live instance was first heard to own the shard; the newest one.
  std::optional<TimePoint> newest_live;
  // When a silent instance that last stated that it owns the shard was last
  // heard; the newest one.
  std::optional<TimePoint> newest_silent;

  bool operator==(const ShardClaims&) const = default;
};

// Returns the shards whose lease has not expired.
std::vector<long> ListAssignedShards(const ShardOwnership& ownership,
                                     TimePoint now);

bool IsAssigned(const ShardOwnership& ownership, long shard, TimePoint now);

// Returns whether this instance may grant tokens of the shard: it is assigned,
// no live instance claims it, and the lease of a silent instance that claims it
// has ended. `lease` is the duration of all instances' leases.
bool MayGrant(const ShardOwnership& ownership,
              long shard,
              const ShardClaims& claims,
              Duration lease,
              TimePoint now);

// Applies the response to a renewal that was sent at `sent_at`. Returns false,
// without an effect, if a later renewal has been confirmed already: responses
// may arrive in another order than the renewals were sent.
bool ApplyAssignment(ShardOwnership& ownership,
                     std::uint64_t generation,
                     std::vector<long> shards,
                     TimePoint sent_at,
                     Duration lease);

// Gives up the shards that another live instance has claimed since the store
// last confirmed them to this one. Returns how many.
std::size_t GiveUpSuperseded(
    ShardOwnership& ownership,
    const std::function<std::optional<TimePoint>(long shard)>&
        newest_live_claim);

// Gives up all shards. Responses to renewals sent before `now` have no effect.
void ReleaseAll(ShardOwnership& ownership, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RATE_LIMITING_SHARD_OWNERSHIP_H_
