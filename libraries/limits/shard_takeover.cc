#include "limits/shard_takeover.h"

#include <algorithm>
#include <functional>

namespace parsleyquay {

namespace {

std::string OwnerAmong(std::vector<PastMember> members,
                       const std::string& shard_key) {
  const std::vector<std::string> owners =
      FindOwners(shard_key, std::move(members), 1);
  return owners.empty() ? "" : owners.front();
}

double FilledLevel(ShardLimits limits, TimePoint since, TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - since).count();
  return std::clamp(elapsed * limits.rate_per_second, 0.0, limits.burst);
}

// Whether one member was the home in every kept earlier view whose version
// satisfies the predicate.
bool WasOwnerInViews(const FleetState& fleet,
                     const std::string& name,
                     const std::string& shard_key,
                     const std::function<bool(std::uint64_t)>& is_wanted) {
  return std::ranges::all_of(fleet.past_views, [&](const PastView& past) {
    return !is_wanted(past.version) ||
           OwnerAmong(past.members, shard_key) == name;
  });
}

std::optional<double> LevelByLapse(
    const FleetState& fleet,
    const std::string& self,
    const std::string& shard_key,
    ShardLimits limits,
    const std::optional<EarlierLeaseExpiry>& expiry,
    TimePoint now) {
  if (!expiry || now < expiry->expired_at) {
    return std::nullopt;
  }
  const bool was_owner = WasOwnerInViews(
      fleet, self, shard_key,
      [&](std::uint64_t version) { return version >= expiry->version; });
  if (!was_owner) {
    return std::nullopt;
  }
  return FilledLevel(limits, expiry->expired_at, now);
}

std::optional<double> LevelBySummary(const FleetState& fleet,
                                     const std::string& self,
                                     const std::string& shard_key,
                                     ShardLimits limits,
                                     const HandoverSummary& summary,
                                     TimePoint now) {
  const bool was_owner_since = WasOwnerInViews(
      fleet, self, shard_key,
      [&](std::uint64_t version) { return version > summary.last_view; });
  const bool was_sender_entitled = WasOwnerInViews(
      fleet, summary.sender, shard_key, [&](std::uint64_t version) {
        return version >= summary.takeover_view && version <= summary.last_view;
      });
  const bool is_view_kept =
      std::ranges::find(fleet.past_views, summary.last_view,
                        &PastView::version) != fleet.past_views.end();
  if (!was_owner_since || !was_sender_entitled || !is_view_kept) {
    return std::nullopt;
  }
  const auto level = summary.levels.find(shard_key);
  return level != summary.levels.end()
             ? std::min(level->second, limits.burst)
             : FilledLevel(limits, summary.takeover_at, now);
}

}  // namespace

std::string FindShardOwner(const View& view, const std::string& shard_key) {
  return OwnerAmong(ToPastMembers(view), shard_key);
}

std::optional<double> FindInitialLevel(
    const FleetState& fleet,
    const std::string& self,
    const std::string& shard_key,
    ShardLimits limits,
    const std::optional<EarlierLeaseExpiry>& expiry,
    const HandoverSummaries& summaries,
    TimePoint now) {
  if (FindShardOwner(fleet.view, shard_key) != self) {
    return std::nullopt;
  }
  if (const auto level =
          LevelByLapse(fleet, self, shard_key, limits, expiry, now)) {
    return level;
  }
  for (const auto& [sender, summary] : summaries) {
    if (const auto level =
            LevelBySummary(fleet, self, shard_key, limits, summary, now)) {
      return level;
    }
  }
  return std::nullopt;
}

}  // namespace parsleyquay
