#include "entry/workspace_rate_limiter.h"

#include <algorithm>
#include <cmath>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kBorrowTimeout = milliseconds(120);
constexpr Duration kUnresponsiveOwnerDelay = milliseconds(400);
constexpr Duration kNotOwnerDelay = milliseconds(100);
// Maximum queue of a workspace's waiting requests, in seconds of its rate.
constexpr double kMaxQueueSeconds = 0.5;
constexpr double kMinQueueLength = 4;
constexpr std::size_t kLevelsPerPart = 300;
constexpr long kMaxTokensPerBorrow = 256;

}  // namespace

WorkspaceRateLimiter::WorkspaceRateLimiter(EntryContext& context)
    : context(context), timer(context.loop, [this] { this->Tick(); }) {}

void WorkspaceRateLimiter::Start() {
  this->timer.StartRepeating(kTickInterval);
}

std::optional<Workspace> WorkspaceRateLimiter::FindWorkspace(
    const std::string& name) const {
  const auto& workspaces = this->context.fleet.declaration.workspaces;
  const auto found = workspaces.find(name);
  return found == workspaces.end() ? std::nullopt
                                   : std::optional(found->second);
}

std::uint64_t WorkspaceRateLimiter::RequestToken(const std::string& workspace,
                                                 TimePoint deadline,
                                                 Callback callback) {
  const std::optional<Workspace> declared = this->FindWorkspace(workspace);
  if (!declared) {
    callback({TokenStatus::kOwnersUnavailable, Duration(0)});
    return 0;
  }
  WorkspaceState& state = this->workspaces[workspace];
  const double queue_limit =
      std::max(kMinQueueLength, declared->rate_per_second * kMaxQueueSeconds);
  if (static_cast<double>(state.waiters.size()) >= queue_limit) {
    const Duration retry_after = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(kMaxQueueSeconds));
    callback({TokenStatus::kRateLimited, retry_after});
    return 0;
  }
  const std::uint64_t id = ++this->next_id;
  state.waiters.push_back({id, deadline, std::move(callback)});
  this->ServeWaiters(workspace);
  return id;
}

void WorkspaceRateLimiter::Cancel(const std::string& workspace,
                                  std::uint64_t id) {
  const auto found = this->workspaces.find(workspace);
  if (found != this->workspaces.end()) {
    std::erase_if(found->second.waiters,
                  [&](const Waiter& waiter) { return waiter.id == id; });
  }
}

void WorkspaceRateLimiter::CompleteFront(WorkspaceState& state,
                                         TokenResult result) {
  const Callback callback = std::move(state.waiters.front().callback);
  state.waiters.pop_front();
  this->context.counters.tokens_spent +=
      result.status == TokenStatus::kSpent ? 1 : 0;
  callback(result);
}

void WorkspaceRateLimiter::Tick() {
  this->UpdateEarlierLeaseExpiry();
  this->ExpireBorrowRequests();
  std::vector<std::string> waiting;
  for (auto& [name, state] : this->workspaces) {
    if (!state.waiters.empty()) {
      waiting.push_back(name);
    }
  }
  for (const std::string& name : waiting) {
    this->ServeWaiters(name);
  }
}

void WorkspaceRateLimiter::ServeWaiters(const std::string& workspace) {
  // NOTE: Callbacks may request further tokens. The entry is never erased.
  WorkspaceState& state = this->workspaces[workspace];
  this->SpendGrantedTokens(state);
  this->SpendOwnedTokens(workspace, state);
  this->FailExpiredWaiters(state);
  this->BorrowTokens(workspace, state);
}

void WorkspaceRateLimiter::SpendGrantedTokens(WorkspaceState& state) {
  while (!state.waiters.empty()) {
    TokenSpendResult spend =
        SpendToken(std::move(state.granted_tokens), this->context.Now());
    state.granted_tokens = std::move(spend.granted);
    if (!spend.is_spent) {
      return;
    }
    this->CompleteFront(state, {TokenStatus::kSpent, Duration(0)});
  }
}

TokenBucketShard* WorkspaceRateLimiter::FindOwnedShard(
    const std::string& workspace,
    std::size_t index) {
  const std::optional<Workspace> declared = this->FindWorkspace(workspace);
  if (!declared || !this->context.has_view_lease() || this->has_handed_over) {
    return nullptr;
  }
  const std::vector<ShardLimits> shards = SplitIntoShards(*declared);
  if (index >= shards.size()) {
    return nullptr;
  }
  const TimePoint now = this->context.Now();
  const std::string key = ShardKey(workspace, index);
  const auto found = this->owned_shards.find(key);
  if (found != this->owned_shards.end()) {
    if (found->second.limits != shards[index]) {
      found->second = WithLimits(std::move(found->second), shards[index], now);
    }
    return &found->second;
  }
  const std::optional<double> level = FindInitialLevel(
      this->context.fleet, this->context.settings.name, key, shards[index],
      this->earlier_lease_expiry, this->summaries, now);
  if (!level) {
    return nullptr;
  }
  return &(this->owned_shards[key] =
               MakeTokenBucketShard(shards[index], *level, now));
}

void WorkspaceRateLimiter::SpendOwnedTokens(const std::string& workspace,
                                            WorkspaceState& state) {
  const std::optional<Workspace> declared = this->FindWorkspace(workspace);
  const std::size_t count = declared ? SplitIntoShards(*declared).size() : 0;
  for (std::size_t index = 0; index < count; ++index) {
    while (!state.waiters.empty()) {
      TokenBucketShard* shard = this->FindOwnedShard(workspace, index);
      if (!shard) {
        break;
      }
      TokenWithdrawal withdrawal =
          SpendLocally(std::move(*shard), 1, this->context.Now());
      *shard = std::move(withdrawal.shard);
      if (withdrawal.tokens < 1) {
        break;
      }
      this->CompleteFront(state, {TokenStatus::kSpent, Duration(0)});
    }
  }
}

void WorkspaceRateLimiter::FailExpiredWaiters(WorkspaceState& state) {
  const TimePoint now = this->context.Now();
  while (!state.waiters.empty() && state.waiters.front().deadline <= now) {
    const bool has_responsive_owner = std::ranges::any_of(
        state.remote_shards,
        [](const auto& entry) { return !entry.second.is_unresponsive; });
    this->CompleteFront(state,
                        {has_responsive_owner || state.remote_shards.empty()
                             ? TokenStatus::kRateLimited
                             : TokenStatus::kOwnersUnavailable,
                         kUnresponsiveOwnerDelay});
  }
}

void WorkspaceRateLimiter::BorrowTokens(const std::string& workspace,
                                        WorkspaceState& state) {
  const std::optional<Workspace> declared = this->FindWorkspace(workspace);
  if (!declared || state.waiters.empty() || !this->context.has_view_lease()) {
    return;
  }
  const std::size_t count = SplitIntoShards(*declared).size();
  const auto waiting = static_cast<long>(state.waiters.size());
  const auto per_shard =
      (waiting + static_cast<long>(count) - 1) / static_cast<long>(count);
  // Starts at a random shard, so that single requests are spread over the
  // owners.
  const std::size_t first = this->context.random() % count;
  long uncovered = waiting;
  for (std::size_t i = 0; i < count && uncovered > 0; ++i) {
    const std::size_t index = (first + i) % count;
    const std::string owner =
        FindShardOwner(this->context.fleet.view, ShardKey(workspace, index));
    if (owner.empty() || this->context.is_self(owner)) {
      continue;
    }
    RemoteShard& remote = state.remote_shards[index];
    if (remote.nonce != 0) {
      uncovered -= per_shard;
      continue;
    }
    if (this->context.Now() < remote.retry_not_before) {
      continue;
    }
    const long wanted = std::min(kMaxTokensPerBorrow, per_shard);
    this->SendBorrowRequest(workspace, index, owner, wanted, state);
    uncovered -= wanted;
  }
}

void WorkspaceRateLimiter::SendBorrowRequest(const std::string& workspace,
                                             std::size_t shard,
                                             const std::string& owner,
                                             long wanted,
                                             WorkspaceState& state) {
  const TimePoint now = this->context.Now();
  const BorrowRequest request{this->context.settings.advertised_peer_address,
                              this->context.NextNonce(),
                              workspace,
                              shard,
                              this->context.fleet.view.version,
                              wanted};
  state.remote_shards[shard].nonce = request.nonce;
  state.remote_shards[shard].requested_at = now;
  this->pending_borrows[request.nonce] = {workspace, shard, now};
  ++this->context.counters.borrows;
  this->context.peer_transport->Send(this->context.PeerAddressOf(owner),
                                     "borrow", ToJson(request));
}

void WorkspaceRateLimiter::ExpireBorrowRequests() {
  const TimePoint now = this->context.Now();
  std::erase_if(this->pending_borrows, [&](const auto& entry) {
    const PendingBorrow& borrow = entry.second;
    if (now - borrow.requested_at < kBorrowTimeout) {
      return false;
    }
    RemoteShard& remote =
        this->workspaces[borrow.workspace].remote_shards[borrow.shard];
    remote.nonce = 0;
    remote.is_unresponsive = true;
    remote.retry_not_before = now + kUnresponsiveOwnerDelay;
    ++this->context.counters.borrow_timeouts;
    return true;
  });
}

void WorkspaceRateLimiter::OnBorrowRequest(const Json::Value& parameters) {
  const BorrowRequest request = BorrowRequestFromJson(parameters);
  BorrowReply reply;
  reply.nonce = request.nonce;
  if (TokenBucketShard* shard =
          this->FindOwnedShard(request.workspace, request.shard)) {
    const auto wanted = static_cast<double>(
        std::clamp(request.tokens, 0L, kMaxTokensPerBorrow));
    TokenWithdrawal withdrawal =
        GrantTokens(std::move(*shard), wanted, this->context.Now());
    *shard = std::move(withdrawal.shard);
    reply.status =
        withdrawal.tokens >= 1 ? BorrowStatus::kGranted : BorrowStatus::kEmpty;
    reply.tokens = std::lround(withdrawal.tokens);
    reply.lifetime = GrantLifetime(shard->limits);
    reply.retry_after = withdrawal.retry_after;
    this->context.counters.tokens_granted +=
        static_cast<std::uint64_t>(reply.tokens);
  }
  this->context.peer_transport->Send(request.reply_address, "grant",
                                     ToJson(reply));
}

void WorkspaceRateLimiter::OnBorrowReply(const Json::Value& parameters) {
  const BorrowReply reply = BorrowReplyFromJson(parameters);
  const auto found = this->pending_borrows.find(reply.nonce);
  if (found == this->pending_borrows.end()) {
    // The request has timed out. The owner counts the grant as outstanding
    // until it expires.
    return;
  }
  const PendingBorrow borrow = found->second;
  this->pending_borrows.erase(found);
  const TimePoint now = this->context.Now();
  WorkspaceState& state = this->workspaces[borrow.workspace];
  RemoteShard& remote = state.remote_shards[borrow.shard];
  remote.nonce = 0;
  remote.is_unresponsive = reply.status == BorrowStatus::kNotOwner;
  switch (reply.status) {
    case BorrowStatus::kGranted:
      state.granted_tokens =
          AddGrant(std::move(state.granted_tokens), reply.tokens,
                   borrow.requested_at, reply.lifetime);
      break;
    case BorrowStatus::kEmpty:
      remote.retry_not_before = now + reply.retry_after;
      break;
    case BorrowStatus::kNotOwner:
      remote.retry_not_before = now + kNotOwnerDelay;
      break;
  }
  this->ServeWaiters(borrow.workspace);
}

void WorkspaceRateLimiter::UpdateEarlierLeaseExpiry() {
  const Takeover& takeover = this->context.takeover;
  const TimePoint now = this->context.Now();
  const bool is_new_view =
      !this->earlier_lease_expiry ||
      this->earlier_lease_expiry->version != takeover.view_version;
  if (!this->context.membership.is_member || !is_new_view) {
    return;
  }
  const bool is_first_view = std::ranges::all_of(
      this->context.fleet.past_views,
      [](const PastView& past) { return past.members.empty(); });
  if (is_first_view || HaveEarlierLeasesExpired(
                           takeover, this->context.fleet.view.version, now)) {
    this->earlier_lease_expiry = EarlierLeaseExpiry{takeover.view_version, now};
  }
}

void WorkspaceRateLimiter::OnFleetChanged() {
  const View& view = this->context.fleet.view;
  if (view.version == this->applied_view.version) {
    return;
  }
  const std::string& self = this->context.settings.name;
  if (!this->context.membership.is_member) {
    this->owned_shards.clear();
    this->earlier_lease_expiry.reset();
    this->summaries.clear();
    this->applied_view = view;
    return;
  }
  std::map<std::string, std::map<std::string, double>> levels_by_owner;
  const TimePoint now = this->context.Now();
  std::erase_if(this->owned_shards, [&](auto& entry) {
    const std::string owner = FindShardOwner(view, entry.first);
    if (owner == self) {
      return false;
    }
    levels_by_owner[owner][entry.first] =
        Refill(std::move(entry.second), now).level;
    return true;
  });
  // Informs members that are new or now own a shard that was used here.
  for (const auto& [name, member] : view.members) {
    const auto before = this->applied_view.members.find(name);
    const bool is_new = before == this->applied_view.members.end() ||
                        before->second.incarnation != member.incarnation;
    const bool must_inform = is_new || levels_by_owner.contains(name);
    const bool was_member = this->applied_view.members.contains(self);
    if (must_inform && was_member && name != self) {
      this->SendHandover(name, this->applied_view.version,
                         levels_by_owner[name]);
    }
  }
  this->applied_view = view;
}

void WorkspaceRateLimiter::SendHandover(
    const std::string& member,
    std::uint64_t last_view,
    const std::map<std::string, double>& levels) {
  if (!this->earlier_lease_expiry) {
    // Leases of earlier views may still be valid, so nothing can be handed
    // over. New owners wait until the lease of this instance has expired.
    return;
  }
  std::vector<std::pair<std::string, double>> ordered(levels.begin(),
                                                      levels.end());
  const std::uint64_t count = std::max<std::uint64_t>(
      1, (ordered.size() + kLevelsPerPart - 1) / kLevelsPerPart);
  HandoverPart part{
      this->context.settings.name,
      this->context.incarnation,
      last_view,
      this->earlier_lease_expiry->version,
      this->context.Now() - this->earlier_lease_expiry->expired_at,
      0,
      count,
      {}};
  for (part.index = 0; part.index < count; ++part.index) {
    const std::size_t start = part.index * kLevelsPerPart;
    const std::size_t end = std::min(ordered.size(), start + kLevelsPerPart);
    part.levels = {ordered.begin() + static_cast<std::ptrdiff_t>(start),
                   ordered.begin() + static_cast<std::ptrdiff_t>(end)};
    this->context.peer_transport->Send(this->context.PeerAddressOf(member),
                                       "handover", ToJson(part));
  }
}

void WorkspaceRateLimiter::OnHandover(const Json::Value& parameters) {
  this->AcceptHandoverPart(HandoverPartFromJson(parameters));
}

void WorkspaceRateLimiter::AcceptHandoverPart(const HandoverPart& part) {
  PartialHandover& partial = this->partial_handovers[part.sender];
  const bool is_same = partial.summary.incarnation == part.incarnation &&
                       partial.summary.last_view == part.last_view;
  if (!is_same) {
    partial = PartialHandover{};
    partial.summary.sender = part.sender;
    partial.summary.incarnation = part.incarnation;
    partial.summary.last_view = part.last_view;
    partial.summary.takeover_view = part.takeover_view;
    partial.summary.takeover_at = this->context.Now() - part.takeover_age;
  }
  partial.received_parts.insert(part.index);
  for (const auto& [key, level] : part.levels) {
    partial.summary.levels[key] = level;
  }
  if (partial.received_parts.size() == part.count) {
    this->summaries[part.sender] = std::move(partial.summary);
    this->partial_handovers.erase(part.sender);
  }
}

void WorkspaceRateLimiter::HandOverShards() {
  this->has_handed_over = true;
  View without_self = this->context.fleet.view;
  without_self.members.erase(this->context.settings.name);
  std::map<std::string, std::map<std::string, double>> levels_by_owner;
  const TimePoint now = this->context.Now();
  for (auto& [key, shard] : this->owned_shards) {
    levels_by_owner[FindShardOwner(without_self, key)][key] =
        Refill(std::move(shard), now).level;
  }
  this->owned_shards.clear();
  for (const auto& [name, member] : without_self.members) {
    this->SendHandover(name, this->context.fleet.view.version,
                       levels_by_owner[name]);
  }
}

}  // namespace parsleyquay
