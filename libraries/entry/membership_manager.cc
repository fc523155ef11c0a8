#include "entry/membership_manager.h"

#include <algorithm>

#include "base/random_id.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kGossipInterval = milliseconds(300);
// Additional gossip requests in each of the first intervals after a view
// change.
constexpr std::size_t kExtraGossipRequests = 2;
constexpr int kViewSpreadTicks = 4;

constexpr std::size_t kIndirectProbesPerSuspect = 2;
constexpr std::size_t kMaxSuspectsProbed = 3;
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kIncarnationBytes = 6;
constexpr std::size_t kMaxForwardedProbes = 256;

// Delay per rank in rendezvous order before a member removes an unresponsive
// one, so that normally only the first appends a record.
constexpr Duration kRemovalRankDelay = milliseconds(700);

// Damps flapping: each loss of membership doubles the delay before the next
// join. A membership of at least kStableMembershipTime resets it.
constexpr Duration kInitialRejoinDelay = seconds(1);
constexpr Duration kMaxRejoinDelay = seconds(60);
constexpr Duration kStableMembershipTime = seconds(60);

}  // namespace

MembershipManager::MembershipManager(EntryContext& context,
                                     FleetLogReplica& log)
    : context(context),
      log(log),
      timer(context.loop, [this] { this->Tick(); }),
      join_not_before(context.Now()) {}

void MembershipManager::Start() {
  this->timer.StartRepeating(kGossipInterval);
}

void MembershipManager::Tick() {
  const TimePoint now = this->context.Now();
  MembershipState& membership = this->context.membership;
  membership = ExpireGossipRequests(std::move(membership), now);
  membership.is_leaving = this->context.is_leaving;
  membership.is_blocked_by_gap = this->log.log_gap().has_value();
  const std::size_t count =
      GossipRequestsPerInterval(membership, kGossipInterval, now);
  const std::size_t extra =
      this->view_spread_ticks > 0 ? kExtraGossipRequests : 0;
  this->view_spread_ticks -= this->view_spread_ticks > 0 ? 1 : 0;
  for (std::size_t i = 0; i < count + extra; ++i) {
    this->SendGossipRequest(this->ChooseMember());
  }
  std::size_t probed = 0;
  for (const auto& [suspect, since] : std::map(membership.suspects)) {
    if (++probed > kMaxSuspectsProbed) {
      break;
    }
    this->SendGossipRequest(suspect);
    this->RequestIndirectProbes(suspect);
  }
  this->context.takeover = UpdateTakeover(this->context.takeover,
                                          this->context.fleet, membership, now);
  this->RemoveUnresponsiveMembers();
  this->JoinWhenDue();
}

// Chooses another member at random, or round-robin while the log cannot be
// reached. Returns "" if there is no other member.
std::string MembershipManager::ChooseMember() {
  std::vector<std::string> others = this->context.membership.names;
  std::erase(others, this->context.settings.name);
  if (others.empty()) {
    return "";
  }
  const bool is_round_robin =
      IsLogUnavailable(this->context.membership, this->context.Now());
  const std::size_t place =
      is_round_robin ? this->next_round_robin++ : this->context.random();
  return others[place % others.size()];
}

void MembershipManager::SendGossipRequest(const std::string& name) {
  const std::string address = this->context.PeerAddressOf(name);
  if (address.empty() || this->context.is_self(name)) {
    return;
  }
  GossipStep step =
      MakeGossipRequest(std::move(this->context.membership), name,
                        this->context.NextNonce(), this->context.Now());
  this->context.membership = std::move(step.state);
  this->context.peer_transport->Send(address, "gossip", ToJson(*step.message));
}

void MembershipManager::RequestIndirectProbes(const std::string& suspect) {
  const ProbeRequest request{this->context.settings.name,
                             this->context.settings.advertised_peer_address,
                             suspect};
  for (std::size_t i = 0; i < kIndirectProbesPerSuspect; ++i) {
    const std::string helper = this->ChooseMember();
    const std::string address = this->context.PeerAddressOf(helper);
    if (helper != suspect && !this->context.is_self(helper)) {
      this->context.peer_transport->Send(address, "probe", ToJson(request));
    }
  }
}

void MembershipManager::OnGossip(const Json::Value& parameters) {
  const std::optional<GossipMessage> message =
      GossipMessageFromJson(parameters);
  if (!message) {
    return;
  }
  GossipStep step = HandleGossip(std::move(this->context.membership), *message,
                                 this->context.Now());
  this->context.membership = std::move(step.state);
  if (step.message) {
    this->context.peer_transport->Send(message->reply_address, "gossip",
                                       ToJson(*step.message));
  }
  this->context.takeover =
      MergeSettledVersion(this->context.takeover, message->settled_version);
  const auto probe = this->forwarded_probes.find(message->nonce);
  const bool is_probe_reply = message->kind == GossipKind::kReply &&
                              probe != this->forwarded_probes.end();
  if (is_probe_reply) {
    const ProbeSuccess success{probe->second.target, message->incarnation};
    this->context.peer_transport->Send(probe->second.reply_address, "alive",
                                       ToJson(success));
    this->forwarded_probes.erase(probe);
  }
  if (step.is_behind) {
    const auto member = this->context.fleet.view.members.find(message->sender);
    if (member != this->context.fleet.view.members.end()) {
      this->log.CatchUp(member->second.http_address);
    }
  }
}

void MembershipManager::OnProbeRequest(const Json::Value& parameters) {
  const ProbeRequest request = ProbeRequestFromJson(parameters);
  const std::string address = this->context.PeerAddressOf(request.target);
  if (address.empty()) {
    return;
  }
  if (this->forwarded_probes.size() >= kMaxForwardedProbes) {
    this->forwarded_probes.clear();
  }
  const std::uint64_t nonce = this->context.NextNonce();
  this->forwarded_probes[nonce] = {request.target, request.reply_address};
  GossipStep step =
      MakeGossipRequest(std::move(this->context.membership), request.target,
                        nonce, this->context.Now());
  this->context.membership = std::move(step.state);
  this->context.peer_transport->Send(address, "gossip", ToJson(*step.message));
}

void MembershipManager::OnProbeSuccess(const Json::Value& parameters) {
  this->context.membership = HandleProbeSuccess(
      std::move(this->context.membership), ProbeSuccessFromJson(parameters));
}

void MembershipManager::AnnounceShutdown() {
  this->context.membership.is_leaving = true;
  for (const std::string& name :
       std::vector<std::string>(this->context.membership.names)) {
    this->SendGossipRequest(name);
  }
}

void MembershipManager::OnFleetChanged() {
  MembershipState& membership = this->context.membership;
  this->HandleLostRange();
  const bool was_member = membership.is_member;
  membership = ApplyView(std::move(membership), this->context.fleet.view,
                         this->context.fleet.next_offset);
  const TimePoint now = this->context.Now();
  if (membership.view_version != this->spread_view_version) {
    // New owners may act only once a majority is known to hold the new view, so
    // the view is spread with additional requests.
    this->spread_view_version = membership.view_version;
    this->view_spread_ticks = kViewSpreadTicks;
  }
  if (!was_member && membership.is_member) {
    this->joined_at = now;
    LogEvent(LogLevel::kInfo, "joined",
             {{"view", std::to_string(membership.view_version)},
              {"incarnation", this->context.incarnation}});
  }
  if (was_member && !membership.is_member && !this->context.is_leaving) {
    const bool was_stable = now - this->joined_at >= kStableMembershipTime;
    this->rejoin_delay = was_stable
                             ? kInitialRejoinDelay
                             : std::clamp(this->rejoin_delay * 2,
                                          kInitialRejoinDelay, kMaxRejoinDelay);
    this->join_not_before = now + this->rejoin_delay;
    this->StartIncarnation();
    LogEvent(
        LogLevel::kWarning, "lost_membership",
        {{"rejoin_in_ms", std::to_string(ToMilliseconds(this->rejoin_delay))}});
  }
  this->context.takeover = UpdateTakeover(this->context.takeover,
                                          this->context.fleet, membership, now);
}

// Starts a new incarnation. It holds no leases, tokens or claims of the earlier
// one.
void MembershipManager::StartIncarnation() {
  this->former_incarnation = this->context.incarnation;
  this->context.incarnation = RandomHex(kIncarnationBytes);
  this->context.membership.incarnation = this->context.incarnation;
}

// An instance that has read records which a bridge snapshot left out may have a
// view that no other instance has. It starts a new incarnation without any
// membership state, as after a restart.
void MembershipManager::HandleLostRange() {
  const LostRange& lost = this->context.fleet.lost_range;
  if (lost == this->known_lost_range) {
    return;
  }
  this->known_lost_range = lost;
  if (this->context.membership.offset <= lost.first) {
    return;
  }
  LogEvent(LogLevel::kWarning, "read_lost_records",
           {{"first", std::to_string(lost.first)},
            {"end", std::to_string(lost.end)}});
  this->context.membership =
      MakeMembership(this->context.settings.name, "",
                     this->context.settings.advertised_peer_address);
  this->context.takeover = {};
  this->StartIncarnation();
}

void MembershipManager::JoinWhenDue() {
  const bool is_due = !this->context.membership.is_member &&
                      !this->context.is_leaving && !this->is_joining &&
                      this->log.has_read_log() &&
                      this->context.Now() >= this->join_not_before;
  if (!is_due) {
    return;
  }
  this->is_joining = true;
  const EntrySettings& settings = this->context.settings;
  const Member self{settings.name, this->context.incarnation,
                    settings.advertised_http_address,
                    settings.advertised_peer_address, settings.failure_domain};
  this->log.AppendUntilApplied({RandomHex(kIdBytes), settings.name,
                                MemberJoin{self, this->former_incarnation}},
                               [this] { this->is_joining = false; });
}

void MembershipManager::RemoveUnresponsiveMembers() {
  const MembershipState& membership = this->context.membership;
  const TimePoint now = this->context.Now();
  if (!this->context.has_view_lease() || IsLogUnavailable(membership, now)) {
    return;
  }
  for (const std::string& name : FindUnresponsiveMembers(membership, now)) {
    const std::string& incarnation = membership.incarnations.at(name);
    const long rank = this->context.RankAmongMembers("remove " + incarnation);
    const TimePoint due = membership.suspects.at(name) + kSuspicionTimeout +
                          kRemovalRankDelay * rank;
    if (now < due || !this->removals_sent.insert(incarnation).second) {
      continue;
    }
    LogEvent(LogLevel::kWarning, "removing_silent_member",
             {{"member", name}, {"incarnation", incarnation}});
    this->log.AppendUntilApplied(
        {RandomHex(kIdBytes), this->context.settings.name,
         MemberDeparture{name, incarnation, DepartureReason::kUnresponsive}},
        [] {});
  }
}

}  // namespace parsleyquay
