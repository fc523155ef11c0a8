#include "rate_limiting/shard_ownership.h"

#include <algorithm>
#include <utility>

namespace parsleyquay {

namespace {

// An owner stops granting tokens this long before the store may assign its
// shards to other members.
constexpr Duration kLeaseMargin = milliseconds(200);

// An owner that was killed was last heard up to this long after its last
// renewal: 600 ms between renewals, and the time that the store takes.
constexpr Duration kMaxRenewalAge = milliseconds(1'000);

}  // namespace

std::vector<long> ListAssignedShards(const ShardOwnership& ownership,
                                     TimePoint now) {
  return now < ownership.expires_at ? ownership.shards : std::vector<long>();
}

bool IsAssigned(const ShardOwnership& ownership, long shard, TimePoint now) {
  return now < ownership.expires_at &&
         std::ranges::find(ownership.shards, shard) != ownership.shards.end();
}

bool MayGrant(const ShardOwnership& ownership,
              long shard,
              const ShardClaims& claims,
              Duration lease,
              TimePoint now) {
  if (!IsAssigned(ownership, shard, now) || claims.newest_live) {
    return false;
  }
  if (!claims.newest_silent) {
    return true;
  }
  // FIXME: An instance that stays silent for longer than its lease, but renews
  // it, may be cut off from the store just before a reassignment. It is not
  // waited for, since it cannot be told from one that was killed.
  // The store takes a shard from a silent member when its lease ends. An
  // earlier assignment is part of a reassignment of all shards, until which the
  // silent instance may have renewed its lease.
  const TimePoint assigned_since = ownership.assigned_since.at(shard);
  const bool has_lease_ended =
      assigned_since >= *claims.newest_silent + lease - kMaxRenewalAge;
  const TimePoint renewed_until =
      has_lease_ended ? *claims.newest_silent : assigned_since;
  return now >= renewed_until + lease - kLeaseMargin;
}

bool ApplyAssignment(ShardOwnership& ownership,
                     std::uint64_t generation,
                     std::vector<long> shards,
                     TimePoint sent_at,
                     Duration lease) {
  if (sent_at < ownership.confirmed_at) {
    return false;
  }
  std::map<long, TimePoint> assigned_since;
  for (const long shard : shards) {
    assigned_since[shard] = IsAssigned(ownership, shard, sent_at)
                                ? ownership.assigned_since.at(shard)
                                : sent_at;
  }
  ownership = {.generation = generation,
               .shards = std::move(shards),
               .confirmed_at = sent_at,
               .expires_at = sent_at + lease - kLeaseMargin,
               .assigned_since = std::move(assigned_since)};
  return true;
}

std::size_t GiveUpSuperseded(
    ShardOwnership& ownership,
    const std::function<std::optional<TimePoint>(long shard)>&
        newest_live_claim) {
  return std::erase_if(ownership.shards, [&](long shard) {
    const auto claim = newest_live_claim(shard);
    return claim && *claim > ownership.confirmed_at;
  });
}

void ReleaseAll(ShardOwnership& ownership, TimePoint now) {
  ownership = {.confirmed_at = now};
}

}  // namespace parsleyquay
