#include "dissemination/rejoin.h"

#include <set>

namespace parsleyquay {

namespace {

// What may be sent per interval. With 250 ms per interval, a lone instance
// sends at most 8 probes per second.
constexpr int kProbesPerInterval = 2;
constexpr int kContactsPerInterval = 8;
constexpr int kReferralsPerInterval = 8;

// The shortest time between two heartbeats, or two referrals, to one member. A
// reply to each message would otherwise be replied to in turn.
constexpr Duration kRepeatInterval = milliseconds(200);

bool IsKnownToBeAlive(const MemberTable& table,
                      const std::string& name,
                      TimePoint now) {
  const auto found = table.members.find(name);
  return found != table.members.end() && IsAlive(found->second, now);
}

// Returns whether a message may be sent to the member now, and records it.
bool TryUse(std::map<std::string, TimePoint>& sent_at,
            int& left,
            const std::string& name,
            TimePoint now) {
  const auto [entry, is_first] = sent_at.try_emplace(name, now);
  if (left <= 0 || (!is_first && now - entry->second < kRepeatInterval)) {
    return false;
  }
  entry->second = now;
  --left;
  return true;
}

void AddContact(RejoinMessages& messages,
                RejoinState& state,
                const AggregatorElection& election,
                const MemberTable& table,
                const std::string& name,
                TimePoint now) {
  if (name != election.name && table.members.contains(name) &&
      TryUse(state.contacted_at, state.contacts_left, name, now)) {
    messages.heartbeats.push_back(name);
  }
}

void AddReferral(RejoinMessages& messages,
                 RejoinState& state,
                 const AggregatorElection& election,
                 const std::string& name,
                 TimePoint now) {
  const std::string followed = FollowedAggregator(election);
  if (!followed.empty() && followed != name &&
      !election.role.is_without_aggregator &&
      TryUse(state.referred_at, state.referrals_left, name, now)) {
    messages.referrals.push_back(name);
  }
}

// Returns the silent members that may be a way to the rest of the fleet: those
// of the own failure domain, and all of any failure domain without a live
// member.
std::vector<std::string> ListSilentMembers(const AggregatorElection& election,
                                           const MemberTable& table,
                                           TimePoint now) {
  std::set<std::string> live_domains;
  for (const auto& [name, entry] : table.members) {
    if (IsAlive(entry, now) && !entry.status.is_leaving) {
      live_domains.insert(entry.status.record.failure_domain);
    }
  }
  live_domains.erase(election.failure_domain);
  std::vector<std::string> silent;
  for (const auto& [name, entry] : table.members) {
    if (name != election.name && !IsAlive(entry, now) &&
        !entry.status.is_leaving &&
        !live_domains.contains(entry.status.record.failure_domain)) {
      silent.push_back(name);
    }
  }
  return silent;
}

}  // namespace

RejoinMessages BeginRejoinInterval(RejoinState& state,
                                   const AggregatorElection& election,
                                   const MemberTable& table,
                                   TimePoint now) {
  state.contacts_left = kContactsPerInterval;
  state.referrals_left = kReferralsPerInterval;
  const auto is_over = [&](const auto& item) {
    return now - item.second >= kRepeatInterval;
  };
  std::erase_if(state.contacted_at, is_over);
  std::erase_if(state.referred_at, is_over);
  RejoinMessages messages;
  if (!election.role.is_aggregator && !election.role.is_without_aggregator) {
    return messages;
  }
  const auto silent = ListSilentMembers(election, table, now);
  for (int i = 0; i < kProbesPerInterval && !silent.empty(); ++i) {
    // A step near the golden ratio of the list spreads successive probes over
    // it, and thereby over the failure domains, which are its sections.
    constexpr double kStep = 0.618;
    const double turn = kStep * static_cast<double>(state.probes_sent++);
    const double fraction = turn - static_cast<double>(static_cast<long>(turn));
    AddContact(messages, state, election, table,
               silent[static_cast<std::size_t>(
                   fraction * static_cast<double>(silent.size()))],
               now);
  }
  return messages;
}

RejoinMessages OnHeartbeatReceived(RejoinState& state,
                                   const AggregatorElection& election,
                                   MemberTable& table,
                                   const Heartbeat& heartbeat,
                                   TimePoint now) {
  RejoinMessages messages;
  const std::string& sender = heartbeat.status.record.name;
  const std::string followed = FollowedAggregator(election);
  if (heartbeat.status.is_leaving) {
    return messages;
  }
  if (heartbeat.aggregator == sender) {
    EndSuspicion(table, sender);
  }
  if (heartbeat.status.record.failure_domain != election.failure_domain) {
    // Only aggregators exchange messages with other failure domains.
    if (!election.role.is_aggregator) {
      AddReferral(messages, state, election, sender, now);
      return messages;
    }
    const auto ranked =
        RankAggregators(table, heartbeat.status.record.failure_domain, now);
    if (ranked.empty() || ranked.front() != sender) {
      AddContact(messages, state, election, table, sender, now);
    }
    return messages;
  }
  if (heartbeat.aggregator.empty() || heartbeat.aggregator == followed) {
    return messages;
  }
  if (!election.role.is_aggregator) {
    AddReferral(messages, state, election, sender, now);
    return messages;
  }
  AddContact(messages, state, election, table, sender, now);
  AddContact(messages, state, election, table, heartbeat.aggregator, now);
  return messages;
}

RejoinMessages OnDigestReceived(RejoinState& state,
                                const AggregatorElection& election,
                                const MemberTable& table,
                                const Digest& digest,
                                TimePoint now) {
  RejoinMessages messages;
  // Only the regular digests of aggregators have views; the standby also sends
  // others.
  if (digest.domains.empty()) {
    return messages;
  }
  const std::string& sender = digest.sender;
  const bool is_of_own_domain =
      !IsOfAnotherDomain(table, sender, election.failure_domain);
  if (!election.role.is_aggregator) {
    if (sender != FollowedAggregator(election)) {
      AddReferral(messages, state, election, sender, now);
    }
  } else if (is_of_own_domain) {
    AddContact(messages, state, election, table, sender, now);
  }
  return messages;
}

RejoinMessages OnReferralReceived(RejoinState& state,
                                  const AggregatorElection& election,
                                  const MemberTable& table,
                                  const AggregatorReferral& referral,
                                  TimePoint now) {
  RejoinMessages messages;
  const bool is_followed =
      referral.aggregator == FollowedAggregator(election) &&
      IsKnownToBeAlive(table, referral.aggregator, now);
  if (!is_followed) {
    AddContact(messages, state, election, table, referral.aggregator, now);
  }
  return messages;
}

Json::Value EncodeAggregatorReferral(const AggregatorReferral& referral) {
  Json::Value parameters;
  parameters["f"] = referral.sender;
  parameters["a"] = referral.aggregator;
  return parameters;
}

std::optional<AggregatorReferral> DecodeAggregatorReferral(
    const Json::Value& parameters) {
  if (!parameters["f"].isString() || !parameters["a"].isString()) {
    return std::nullopt;
  }
  return AggregatorReferral{.sender = parameters["f"].asString(),
                            .aggregator = parameters["a"].asString()};
}

}  // namespace parsleyquay
