#include "gateway/workspace_rate_limiter.h"

#include <algorithm>
#include <utility>

#include "base/rendezvous.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// Longer than most outages of the store, and shorter than the time for which
// clients tolerate that the shard of their workspace has no owner.
constexpr Duration kShardLeaseDuration = seconds(5);
constexpr Duration kRenewInterval = milliseconds(600);
constexpr Duration kEarlyRenewDelay = milliseconds(40);
constexpr Duration kEligibilityInterval = milliseconds(250);

// Shards keep an owner even if one candidate fails in every failure domain.
constexpr std::ptrdiff_t kCandidatesPerDomain = 2;

// An instance counts as recently started for this long. Afterwards all members
// have discovered each other.
constexpr Duration kStartupPeriod = seconds(3);

}  // namespace

std::string_view RateLimitSourceName(RateLimitSource source) {
  switch (source) {
    case RateLimitSource::kNoLimit:
      return "no_limit";
    case RateLimitSource::kLocalOwner:
      return "own_home";
    case RateLimitSource::kRemoteOwner:
      return "peer_home";
    case RateLimitSource::kFallbackQuota:
      return "spare";
  }
  return "unknown";
}

WorkspaceRateLimiter::WorkspaceRateLimiter(
    GatewayContext& context,
    std::function<void()> on_ownership_change)
    : context(context),
      on_ownership_change(std::move(on_ownership_change)),
      renew_timer(context.loop, [this] { this->RenewShardLease(); }),
      eligibility_timer(context.loop,
                        [this] { this->UpdateEligibilityAndLease(); }) {
  context.coordination.era->Watch(
      [this](std::uint64_t era) { this->OnNewEra(era); });
}

void WorkspaceRateLimiter::Start() {
  this->started_at = this->context.Now();
  this->eligibility_timer.StartRepeating(kEligibilityInterval);
}

void WorkspaceRateLimiter::UpdateEligibilityAndLease() {
  this->GiveUpSupersededShards();
  const bool was_eligible = this->eligibility.is_eligible;
  const ShardOwnerConditions conditions = this->OwnConditions();
  UpdateEligibility(this->eligibility, conditions, this->context.Now());
  const bool is_eligible = this->eligibility.is_eligible;
  if (is_eligible && !was_eligible) {
    this->has_resolved_previous_lease = true;
    this->RenewShardLease();
  } else if (!is_eligible && was_eligible) {
    this->ReleaseShardLease();
  } else if (is_eligible && this->has_unowned_shard()) {
    // Its owner has left, so it may have been assigned to this instance.
    this->RenewShardLease();
  }
  // Shards assigned to an earlier incarnation of this process would have no
  // owner until that assignment expires.
  if (!conditions.is_candidate && !this->has_resolved_previous_lease &&
      this->context.has_previous_incarnation) {
    this->has_resolved_previous_lease = true;
    this->context.coordination.shard_group.leave(this->context.settings.name,
                                                 [] {});
  }
}

ShardOwnerConditions WorkspaceRateLimiter::OwnConditions() const {
  const TimePoint now = this->context.Now();
  const MemberTable& members = this->context.members;
  const auto ranked =
      RankMembers(members, this->context.settings.failure_domain, now);
  const auto own = std::ranges::find(ranked, this->context.settings.name);
  return {.is_candidate = own != ranked.end() &&
                          own - ranked.begin() < kCandidatesPerDomain,
          .is_at_least_half_alive = IsAtLeastHalfAlive(members, now),
          .has_started_recently = !this->context.has_previous_incarnation &&
                                  now - this->started_at < kStartupPeriod};
}

bool WorkspaceRateLimiter::has_unowned_shard() const {
  return this->CountShardsWithoutOwner() > 0;
}

std::uint64_t WorkspaceRateLimiter::CountShardsWithoutOwner() const {
  std::uint64_t count = 0;
  for (long shard = 0;
       shard < this->context.coordination.shard_group.shard_count; ++shard) {
    const bool has_owner =
        IsAssigned(this->ownership, shard, this->context.Now()) ||
        this->OwnerAddressOf(shard);
    count += has_owner ? 0 : 1;
  }
  return count;
}

void WorkspaceRateLimiter::OnConfigurationChange() {
  const TimePoint now = this->context.Now();
  for (const auto& [name, configuration] :
       this->context.routing->configuration().workspaces) {
    if (configuration.has_rate_limit() && this->IsOwned(this->ShardOf(name))) {
      EnsureTokenBucket(this->token_buckets, name, now);
    }
  }
}

std::vector<long> WorkspaceRateLimiter::OwnedShards() const {
  return ListAssignedShards(this->ownership, this->context.Now());
}

bool WorkspaceRateLimiter::OwnsShardOf(const std::string& name) const {
  return this->IsOwned(this->ShardOf(name));
}

void WorkspaceRateLimiter::GiveUpSupersededShards() {
  const bool owned_any = !this->OwnedShards().empty();
  const std::size_t given_up =
      GiveUpSuperseded(this->ownership, [this](long shard) {
        return NewestOtherClaim(this->context.members,
                                this->context.settings.name, shard,
                                this->context.Now());
      });
  if (given_up == 0) {
    return;
  }
  LogEvent(LogLevel::kWarning, "duties_superseded",
           {{"generation", std::to_string(this->ownership.generation)},
            {"duties", std::to_string(given_up)}});
  // The next assignment drops the buckets of these shards, since it does not
  // continue their ownership.
  if (owned_any) {
    this->on_ownership_change();
  }
}

void WorkspaceRateLimiter::StopOwningShards() {
  this->eligibility_timer.Stop();
  this->eligibility = {};
  this->ReleaseShardLease();
}

void WorkspaceRateLimiter::ReleaseShardLease() {
  this->renew_timer.Stop();
  if (!this->ownership.shards.empty()) {
    LogEvent(LogLevel::kInfo, "duties_handed_back",
             {{"generation", std::to_string(this->ownership.generation)}});
  }
  ReleaseAll(this->ownership, this->context.Now());
  this->token_buckets = {};
  this->context.coordination.shard_group.leave(this->context.settings.name,
                                               [] {});
}

// The store may have assigned the shards to others in the new era, so none is
// owned until it confirms them.
void WorkspaceRateLimiter::OnNewEra(std::uint64_t era) {
  if (!this->eligibility.is_eligible || this->ownership_era >= era) {
    return;
  }
  const bool owned_any = !this->OwnedShards().empty();
  this->ownership.expires_at = TimePoint();
  if (owned_any) {
    this->on_ownership_change();
  }
  this->RenewShardLease();
}

Duration WorkspaceRateLimiter::LeaseDuration() const {
  return std::max(kShardLeaseDuration, this->context.settings.shortest_lease);
}

void WorkspaceRateLimiter::RenewShardLease() {
  const TimePoint sent_at = this->context.Now();
  const Duration lease_duration = this->LeaseDuration();
  this->renew_timer.StartOnce(kRenewInterval);
  const bool is_of_present_era =
      this->ownership_era >= this->context.coordination.era->known();
  this->context.coordination.shard_group.renew(
      this->context.settings.name, lease_duration,
      is_of_present_era ? this->ownership.generation : 0,
      [this, sent_at, lease_duration](std::optional<ShardAssignment> assigned) {
        this->OnAssignment(std::move(assigned), sent_at, lease_duration);
      });
}

void WorkspaceRateLimiter::OnAssignment(std::optional<ShardAssignment> assigned,
                                        TimePoint sent_at,
                                        Duration lease_duration) {
  if (!assigned || !this->eligibility.is_eligible) {
    return;
  }
  if (assigned->era < this->ownership_era ||
      assigned->era < this->context.coordination.era->known()) {
    return;
  }
  const std::vector<long> before = this->OwnedShards();
  const bool is_new_era = assigned->era != this->ownership_era;
  const bool is_new_generation =
      is_new_era || assigned->generation != this->ownership.generation;
  if (!ApplyAssignment(this->ownership, assigned->generation,
                       std::move(assigned->shards), sent_at, lease_duration)) {
    return;
  }
  this->ownership_era = assigned->era;
  // Workspaces of shards that were not owned without interruption start with
  // empty buckets. In a new era, others may have owned them in between.
  std::erase_if(this->token_buckets.buckets, [&](const auto& bucket) {
    const long shard = this->ShardOf(bucket.first);
    return is_new_era || std::ranges::find(before, shard) == before.end() ||
           !this->IsOwned(shard);
  });
  if (this->context.routing) {
    this->OnConfigurationChange();
  }
  if (this->OwnedShards() != before) {
    this->on_ownership_change();
  }
  if (is_new_generation) {
    LogEvent(LogLevel::kInfo, "duties_dealt",
             {{"generation", std::to_string(this->ownership.generation)},
              {"duties", std::to_string(this->ownership.shards.size())}});
    // The store assigns the lost shards to other members only after the next
    // renewal acknowledges the new generation.
    this->renew_timer.StartOnce(kEarlyRenewDelay);
  }
}

long WorkspaceRateLimiter::ShardOf(const std::string& workspace) const {
  const long count =
      std::max(1L, this->context.coordination.shard_group.shard_count);
  return static_cast<long>(RendezvousWeight("allowance", workspace) %
                           static_cast<std::uint64_t>(count));
}

bool WorkspaceRateLimiter::IsOwned(long shard) const {
  const TimePoint now = this->context.Now();
  const std::string& name = this->context.settings.name;
  return MayGrant(
      this->ownership, shard,
      {.newest_live = NewestOtherClaim(this->context.members, name, shard, now),
       .newest_silent =
           NewestSilentClaim(this->context.members, name, shard, now)},
      this->LeaseDuration(), now);
}

std::optional<std::string> WorkspaceRateLimiter::OwnerAddressOf(
    long shard) const {
  const std::vector<const MemberEntry*> owners =
      OtherOwners(this->context.members, this->context.settings.name, shard,
                  this->context.Now());
  const auto newest =
      std::ranges::max_element(owners, {}, &MemberEntry::last_heard_at);
  return newest == owners.end()
             ? std::nullopt
             : std::optional((*newest)->status.record.peer_address);
}

const WorkspaceConfiguration& WorkspaceRateLimiter::ConfigurationOf(
    const std::string& workspace) const {
  return GetWorkspaceConfiguration(this->context.routing->configuration(),
                                   workspace);
}

}  // namespace parsleyquay
