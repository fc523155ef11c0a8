#include "dissemination/simulated_fleet.h"

#include <algorithm>
#include <utility>

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(250);
constexpr Duration kUrgentDelay = milliseconds(5);
constexpr Duration kDigestInterval = milliseconds(500);
constexpr Duration kHeartbeatInterval = milliseconds(1'000);
constexpr Duration kResponseGap = milliseconds(50);
constexpr std::size_t kMaxMembersPerDigest = 60;

}  // namespace

SimulatedFleet::SimulatedFleet(int instances, int domains, unsigned seed)
    : random(seed) {
  for (int i = 0; i < instances; ++i) {
    const std::string domain(1, static_cast<char>('a' + i % domains));
    const std::string name = domain + "-" + std::to_string(i / domains);
    const double capacity = 0.1 + 0.1 * static_cast<double>(i / domains % 4);
    this->members[name].status = {
        .record = {.name = name,
                   .failure_domain = domain,
                   .peer_address = name,
                   .incarnation = "i-" + name,
                   .capacity = {.processor = capacity, .link = 100}},
        .is_ready = true};
  }
  for (auto& [name, member] : this->members) {
    this->Start(member);
  }
}

void SimulatedFleet::Start(SimulatedMember& member) {
  const MemberRecord& record = member.status.record;
  member.started_at = this->now;
  member.election = {.name = record.name,
                     .failure_domain = record.failure_domain};
  for (const auto& [name, other] : this->members) {
    UpdateMemberRecord(member.table, other.status.record, this->now);
  }
  this->UpdateRole(member);
  const Duration phase(static_cast<long>(this->random() % 250'000));
  this->Schedule(phase,
                 [this, name = record.name, incarnation = record.incarnation] {
                   this->Tick(name, incarnation);
                 });
}

void SimulatedFleet::RunFor(Duration duration) {
  const TimePoint end = this->now + duration;
  while (!this->events.empty() && this->events.top().at <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }
  this->now = end;
}

void SimulatedFleet::Kill(const std::string& name) {
  this->members.at(name).is_running = false;
}

void SimulatedFleet::Restart(const std::string& name) {
  SimulatedMember& member = this->members.at(name);
  MemberStatus status = member.status;
  status.record.incarnation += "'";
  status.owned_shards.clear();
  member = {.status = status};
  this->Start(member);
}

void SimulatedFleet::Partition(std::map<std::string, int> new_groups) {
  this->groups = std::move(new_groups);
}

void SimulatedFleet::Own(const std::string& name, std::vector<long> shards) {
  SimulatedMember& member = this->members.at(name);
  member.status.owned_shards = std::move(shards);
  UpdateMemberStatus(member.table, member.status, Duration(0), this->now);
  this->SendHeartbeat(member);
  this->ForwardMember(member, name, MemberUpdateResult::kChanged);
  this->SendDigest(member);
}

void SimulatedFleet::SetConfigurationVersion(const std::string& name,
                                             std::uint64_t version) {
  this->members.at(name).configuration_version = version;
  this->SendDigestSoon(this->members.at(name));
}

std::vector<std::string> SimulatedFleet::ListUnknownOwners() const {
  std::vector<std::string> unknown;
  for (const auto& [owner, owning] : this->members) {
    if (!owning.is_running) {
      continue;
    }
    for (const auto& [name, member] : this->members) {
      for (const long shard : owning.status.owned_shards) {
        auto known = OtherOwners(member.table, name, shard, this->now);
        // The store assigns the shards of an instance that was killed to
        // another one only when its lease of 5 s has ended, and by then the
        // instance has timed out. The schedules here do not wait for that.
        std::erase_if(known, [&](const MemberEntry* entry) {
          return !this->members.at(entry->status.record.name).is_running;
        });
        const bool is_known =
            known.size() == 1 && known.front()->status.record.name == owner;
        if (member.is_running && name != owner && !is_known) {
          unknown.push_back(name + " knows " + std::to_string(known.size()) +
                            " owners of shard " + std::to_string(shard) +
                            ", not just " + owner);
        }
      }
    }
  }
  return unknown;
}

std::vector<std::string> SimulatedFleet::ListDisagreements() const {
  std::map<std::string, std::map<std::string, std::string>> followers;
  for (const auto& [name, member] : this->members) {
    if (member.is_running) {
      followers[member.election.failure_domain]
               [FollowedAggregator(member.election)] += " " + name;
    }
  }
  std::vector<std::string> disagreements;
  for (const auto& [domain, followed] : followers) {
    const auto found = this->members.find(followed.begin()->first);
    if (followed.size() == 1 && found != this->members.end() &&
        found->second.is_running) {
      continue;
    }
    std::string text;
    for (const auto& [aggregator, names] : followed) {
      text += (text.empty() ? "" : "; ") + aggregator + " followed by" + names;
    }
    disagreements.push_back(text);
  }
  return disagreements;
}

void SimulatedFleet::Schedule(Duration delay, std::function<void()> run) {
  this->events.push({this->now + delay, this->next_event++, std::move(run)});
}

void SimulatedFleet::Send(SimulatedMember& from,
                          const std::string& to,
                          const std::string& method,
                          const Json::Value& parameters) {
  ++from.sent_messages;
  const auto group_of = [this](const std::string& name) {
    const auto found = this->groups.find(name);
    return found == this->groups.end() ? 0 : found->second;
  };
  const bool is_lost =
      std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss;
  if (is_lost || group_of(from.status.record.name) != group_of(to)) {
    return;
  }
  const Duration latency(500 + static_cast<long>(this->random() % 7'500));
  this->Schedule(latency, [this, to, method, parameters] {
    SimulatedMember& receiver = this->members.at(to);
    if (receiver.is_running) {
      ++this->message_counts[method];
      this->Receive(receiver, method, parameters);
    }
  });
}

void SimulatedFleet::SendDigestParts(SimulatedMember& from,
                                     const std::vector<std::string>& to,
                                     Digest digest) {
  for (const Digest& part :
       SplitDigest(std::move(digest), kMaxMembersPerDigest)) {
    const Json::Value encoded = EncodeDigest(part, this->now);
    for (const std::string& name : to) {
      this->Send(from, name, kDigestMethod, encoded);
    }
  }
}

void SimulatedFleet::Tick(const std::string& name,
                          const std::string& incarnation) {
  SimulatedMember& member = this->members.at(name);
  if (!member.is_running || member.status.record.incarnation != incarnation) {
    return;
  }
  this->Schedule(kTickInterval,
                 [this, name, incarnation] { this->Tick(name, incarnation); });
  SuspectSilentAggregator(member.election, member.table, this->now);
  this->UpdateRole(member);
  this->SendRejoinMessages(
      member, BeginRejoinInterval(member.rejoin, member.election, member.table,
                                  this->now));
  if (member.election.role.is_aggregator) {
    if (this->now - member.digest_sent_at >= kDigestInterval) {
      this->SendDigest(member);
    }
  } else if (this->now - member.heartbeat_sent_at >= kHeartbeatInterval) {
    this->SendHeartbeat(member);
  }
}

void SimulatedFleet::UpdateRole(SimulatedMember& member) {
  UpdateMemberStatus(member.table, member.status, Duration(0), this->now);
  const bool was_aggregator = member.election.role.is_aggregator;
  UpdateElection(member.election, member.table, this->now);
  if (was_aggregator && !member.election.role.is_aggregator &&
      !member.updates.changed_members.empty()) {
    this->SendDigestToAll(member);
  }
}

void SimulatedFleet::SendRejoinMessages(SimulatedMember& member,
                                        const RejoinMessages& messages) {
  const std::string followed = FollowedAggregator(member.election);
  for (const std::string& name : messages.heartbeats) {
    this->Send(member, name, "heartbeat",
               EncodeHeartbeat({member.status, followed}));
  }
  for (const std::string& name : messages.referrals) {
    this->Send(member, name, kAggregatorReferralMethod,
               EncodeAggregatorReferral({member.election.name, followed}));
  }
}

void SimulatedFleet::SendHeartbeat(SimulatedMember& member) {
  member.heartbeat_sent_at = this->now;
  for (const std::string& name : ListHeartbeatReceivers(member.election)) {
    this->Send(
        member, name, "heartbeat",
        EncodeHeartbeat({member.status, FollowedAggregator(member.election)}));
  }
}

void SimulatedFleet::SendDigest(SimulatedMember& member) {
  if (member.election.role.is_aggregator) {
    this->SendDigestToAll(member);
  }
}

void SimulatedFleet::SendDigestToAll(SimulatedMember& member) {
  const std::string& own_domain = member.election.failure_domain;
  Digest digest{.sender = member.election.name,
                .configuration_version = member.configuration_version};
  std::map<std::string, DomainView> views;
  if (this->now - member.views_sent_at >= kDigestInterval) {
    member.views_sent_at = this->now;
    AddSilentMembers(member.updates, member.table, this->now);
    AddOwners(member.updates, member.table, own_domain, this->now);
    AddOwnStatus(member.updates, member.table, member.election.name, this->now);
    for (const std::string& domain : FailureDomains(member.table)) {
      views[domain] = ComputeDomainView(member.table, domain, this->now);
    }
    digest.domains[own_domain] = views.at(own_domain);
  }
  digest.members =
      ListChangedMembers(member.updates, member.table, own_domain, this->now);
  this->SendDigestParts(
      member, ListOtherAggregators(member.election, member.table, this->now),
      digest);
  digest.members =
      ListChangedMembers(member.updates, member.table, "", this->now);
  digest.domains = std::move(views);
  this->SendDigestParts(
      member, ListOwnDomainReceivers(member.election, member.table, this->now),
      std::move(digest));
  member.updates.changed_members.clear();
  member.digest_sent_at = this->now;
}

void SimulatedFleet::SendDigestSoon(SimulatedMember& member) {
  if (std::exchange(member.is_digest_due, true)) {
    return;
  }
  this->Schedule(kUrgentDelay, [this, &member] {
    if (std::exchange(member.is_digest_due, false) && member.is_running) {
      this->SendDigest(member);
    }
  });
}

void SimulatedFleet::ForwardMember(SimulatedMember& member,
                                   const std::string& changed,
                                   MemberUpdateResult result) {
  if (result == MemberUpdateResult::kReturned) {
    RecordReturn(member.updates, this->now);
  }
  if (!member.election.role.is_aggregator ||
      result == MemberUpdateResult::kNothing) {
    return;
  }
  member.updates.changed_members.insert(changed);
  if (result == MemberUpdateResult::kChanged) {
    this->SendDigestSoon(member);
  }
}

void SimulatedFleet::Receive(SimulatedMember& member,
                             const std::string& method,
                             const Json::Value& parameters) {
  if (method == "heartbeat") {
    const Heartbeat heartbeat = *DecodeHeartbeat(parameters);
    const MemberUpdateResult result = UpdateMemberStatus(
        member.table, heartbeat.status, Duration(0), this->now);
    this->SendRejoinMessages(
        member, OnHeartbeatReceived(member.rejoin, member.election,
                                    member.table, heartbeat, this->now));
    this->ForwardMember(member, heartbeat.status.record.name, result);
  } else if (method == kAggregatorReferralMethod) {
    this->SendRejoinMessages(
        member,
        OnReferralReceived(member.rejoin, member.election, member.table,
                           *DecodeAggregatorReferral(parameters), this->now));
  } else if (method == kDigestMethod) {
    this->OnDigest(member, *DecodeDigest(parameters, this->now));
  } else if (method == "members_wanted") {
    const auto request = DecodeMemberListRequest(parameters);
    if (member.updates.list_requests.empty()) {
      this->Schedule(kResponseGap,
                     [this, &member] { this->SendNextMemberList(member); });
    }
    member.updates.list_requests[request->sender].insert(
        request->domains.begin(), request->domains.end());
  }
}

void SimulatedFleet::SendNextMemberList(SimulatedMember& member) {
  if (!member.is_running || member.updates.list_requests.empty()) {
    return;
  }
  RecordAlive(member.table, member.election.name, this->now);
  const MemberListRequest request = TakeListRequest(
      member.updates, member.table, member.election.failure_domain);
  this->SendDigestParts(
      member, {request.sender},
      {.sender = member.election.name,
       .members = ListDomainMembers(
           member.table, {request.domains.begin(), request.domains.end()},
           this->now)});
  if (!member.updates.list_requests.empty()) {
    this->Schedule(kResponseGap,
                   [this, &member] { this->SendNextMemberList(member); });
  }
}

void SimulatedFleet::OnDigest(SimulatedMember& member, const Digest& digest) {
  for (const DigestMember& each : digest.members) {
    if (each.status.record.name != member.election.name) {
      this->ForwardMember(
          member, each.status.record.name,
          UpdateMemberStatus(member.table, each.status, each.age, this->now));
    }
  }
  if (RecordDigestSender(member.election, member.table, digest.sender,
                         this->now)) {
    this->ForwardMember(member, digest.sender, MemberUpdateResult::kReturned);
  }
  this->SendRejoinMessages(
      member, OnDigestReceived(member.rejoin, member.election, member.table,
                               digest, this->now));
  MemberListRequest request{.sender = member.election.name};
  for (const auto& [domain, view] : digest.domains) {
    if (IsAuthoritativeFor(member.election, member.table, digest.sender,
                           domain) &&
        ReconcileDomainView(member.updates, member.table, domain, view,
                            this->now)) {
      request.domains.push_back(domain);
    }
  }
  if (!request.domains.empty()) {
    this->Send(member, digest.sender, "members_wanted",
               EncodeMemberListRequest(request));
  }
  member.configuration_version =
      std::max(member.configuration_version, digest.configuration_version);
  MergeSummary(member.received_outcomes, digest.outcomes);
  this->UpdateRole(member);
}

}  // namespace parsleyquay
