#include "entry/membership_manager.h"

#include <algorithm>

#include "base/random_id.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kGossipInterval = milliseconds(300);
// After a view change more members are asked for a while.
constexpr std::size_t kExtraRequests = 2;
constexpr int kSpreadTicks = 4;

constexpr std::size_t kHelpersPerSuspect = 2;
constexpr std::size_t kMostSuspectsAsked = 3;
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kIncarnationBytes = 6;
constexpr std::size_t kForwardedProbeLimit = 256;

// Members in rendezvous order wait this much longer each before they remove a
// silent member, so that as a rule one record is appended.
constexpr Duration kRemovalStagger = milliseconds(700);

// Flapping is damped: each loss of membership doubles the wait before the
// next join; a stable stay resets it.
constexpr Duration kFirstRejoinDelay = seconds(1);
constexpr Duration kLongestRejoinDelay = seconds(60);
constexpr Duration kStableStay = seconds(60);

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
  const std::size_t extra = this->spread_ticks > 0 ? kExtraRequests : 0;
  this->spread_ticks -= this->spread_ticks > 0 ? 1 : 0;
  for (std::size_t i = 0; i < count + extra; ++i) {
    this->Ask(this->PickMember());
  }
  std::size_t asked = 0;
  for (const auto& [suspect, since] : std::map(membership.suspects)) {
    if (++asked > kMostSuspectsAsked) {
      break;
    }
    this->Ask(suspect);
    this->AskForHelp(suspect);
  }
  this->context.takeover = UpdateTakeover(this->context.takeover,
                                          this->context.fleet, membership, now);
  this->RemoveSilentMembers();
  this->JoinWhenDue();
}

// With the log at hand a random member is asked; in an outage all in turn.
std::string MembershipManager::PickMember() {
  std::vector<std::string> others = this->context.membership.names;
  std::erase(others, this->context.settings.name);
  if (others.empty()) {
    return "";
  }
  const bool in_turn =
      IsLogUnavailable(this->context.membership, this->context.Now());
  const std::size_t place =
      in_turn ? this->next_in_turn++ : this->context.random();
  return others[place % others.size()];
}

void MembershipManager::Ask(const std::string& name) {
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

void MembershipManager::AskForHelp(const std::string& suspect) {
  const ProbeRequest request{this->context.settings.name,
                             this->context.settings.advertised_peer_address,
                             suspect};
  for (std::size_t i = 0; i < kHelpersPerSuspect; ++i) {
    const std::string helper = this->PickMember();
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
  const bool is_probe_answer = message->kind == GossipKind::kReply &&
                               probe != this->forwarded_probes.end();
  if (is_probe_answer) {
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
  if (this->forwarded_probes.size() >= kForwardedProbeLimit) {
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
    this->Ask(name);
  }
}

void MembershipManager::OnFleetChanged() {
  MembershipState& membership = this->context.membership;
  this->NoteLostRange();
  const bool was_member = membership.is_member;
  membership = ApplyView(std::move(membership), this->context.fleet.view,
                         this->context.fleet.next_offset);
  const TimePoint now = this->context.Now();
  if (membership.view_version != this->spread_version) {
    // The sooner all are known to hold a view, the sooner rights pass on.
    this->spread_version = membership.view_version;
    this->spread_ticks = kSpreadTicks;
  }
  if (!was_member && membership.is_member) {
    this->joined_at = now;
    LogEvent(LogLevel::kInfo, "joined",
             {{"view", std::to_string(membership.view_version)},
              {"incarnation", this->context.incarnation}});
  }
  if (was_member && !membership.is_member && !this->context.is_leaving) {
    const bool was_stable = now - this->joined_at >= kStableStay;
    this->rejoin_delay =
        was_stable ? kFirstRejoinDelay
                   : std::clamp(this->rejoin_delay * 2, kFirstRejoinDelay,
                                kLongestRejoinDelay);
    this->join_not_before = now + this->rejoin_delay;
    this->StartIncarnation();
    LogEvent(
        LogLevel::kWarning, "lost_membership",
        {{"rejoin_in_ms", std::to_string(ToMilliseconds(this->rejoin_delay))}});
  }
  this->context.takeover = UpdateTakeover(this->context.takeover,
                                          this->context.fleet, membership, now);
}

// Rights and memories end with the incarnation.
void MembershipManager::StartIncarnation() {
  this->former_incarnation = this->context.incarnation;
  this->context.incarnation = RandomHex(kIncarnationBytes);
  this->context.membership.incarnation = this->context.incarnation;
}

// An instance that had read records which the fleet goes on without may hold
// views that no other knows: it starts afresh, as after a restart.
void MembershipManager::NoteLostRange() {
  const LostRange& lost = this->context.fleet.lost_range;
  if (lost == this->known_lost) {
    return;
  }
  this->known_lost = lost;
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

void MembershipManager::RemoveSilentMembers() {
  const MembershipState& membership = this->context.membership;
  const TimePoint now = this->context.Now();
  if (!this->context.has_view_lease() || IsLogUnavailable(membership, now)) {
    return;
  }
  for (const std::string& silent : FindUnresponsiveMembers(membership, now)) {
    const std::string& incarnation = membership.incarnations.at(silent);
    const long rank = this->context.RankAmongMembers("remove " + incarnation);
    const TimePoint due = membership.suspects.at(silent) + kSuspicionTimeout +
                          kRemovalStagger * rank;
    if (now < due || !this->removals_sent.insert(incarnation).second) {
      continue;
    }
    LogEvent(LogLevel::kWarning, "removing_silent_member",
             {{"member", silent}, {"incarnation", incarnation}});
    this->log.AppendUntilApplied(
        {RandomHex(kIdBytes), this->context.settings.name,
         MemberDeparture{silent, incarnation, DepartureReason::kUnresponsive}},
        [] {});
  }
}

}  // namespace parsleyquay
