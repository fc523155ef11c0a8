#include "dissemination/aggregator_election.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace parsleyquay {

namespace {

// An aggregator that sends no digest for this long is suspected: two missed
// digests and a margin.
constexpr Duration kAggregatorSilence = milliseconds(1'100);

constexpr std::size_t kHeartbeatReceivers = 2;

}  // namespace

std::string FollowedAggregator(const AggregatorElection& election) {
  return election.candidates.empty() ? "" : election.candidates.front();
}

std::size_t RankOfCandidate(const AggregatorElection& election,
                            const std::string& member) {
  const auto& candidates = election.candidates;
  return static_cast<std::size_t>(
      std::distance(candidates.begin(), std::ranges::find(candidates, member)));
}

void UpdateElection(AggregatorElection& election,
                    const MemberTable& table,
                    TimePoint now) {
  const std::string before = FollowedAggregator(election);
  election.candidates = RankAggregators(table, election.failure_domain, now);
  const std::string followed = FollowedAggregator(election);
  if (!followed.empty() && followed != before) {
    election.aggregator_since = now;
  }
  AggregationRole& role = election.role;
  role.is_aggregator = followed == election.name;
  role.is_standby =
      election.candidates.size() > 1 && election.candidates[1] == election.name;
  role.is_without_aggregator =
      !role.is_aggregator &&
      now - election.digest_received_at > kAggregatorSilence;
}

bool RecordDigestSender(AggregatorElection& election,
                        MemberTable& table,
                        const std::string& sender,
                        TimePoint now) {
  const bool has_returned = RecordAlive(table, sender, now);
  EndSuspicion(table, sender);
  if (sender == FollowedAggregator(election)) {
    election.digest_received_at = now;
  }
  return has_returned;
}

bool SuspectSilentAggregator(const AggregatorElection& election,
                             MemberTable& table,
                             TimePoint now) {
  const std::string followed = FollowedAggregator(election);
  const TimePoint heard_at =
      std::max(election.digest_received_at, election.aggregator_since);
  if (followed.empty() || followed == election.name ||
      now - heard_at <= kAggregatorSilence) {
    return false;
  }
  SuspectMember(table, followed, now);
  return true;
}

bool IsAuthoritativeFor(const AggregatorElection& election,
                        const MemberTable& table,
                        const std::string& member,
                        const std::string& failure_domain) {
  if (!election.role.is_aggregator) {
    return !election.candidates.empty() &&
           FollowedAggregator(election) == member;
  }
  const auto found = table.members.find(member);
  return found != table.members.end() &&
         found->second.status.record.failure_domain == failure_domain &&
         failure_domain != election.failure_domain;
}

std::vector<std::string> ListHeartbeatReceivers(
    const AggregatorElection& election) {
  std::vector<std::string> receivers;
  for (const std::string& member : election.candidates) {
    if (receivers.size() < kHeartbeatReceivers && member != election.name) {
      receivers.push_back(member);
    }
  }
  return receivers;
}

std::vector<std::string> ListOwnDomainReceivers(
    const AggregatorElection& election,
    const MemberTable& table,
    TimePoint now) {
  std::vector<std::string> receivers;
  for (const auto& [name, entry] : table.members) {
    if (name != election.name && IsAlive(entry, now) &&
        entry.status.record.failure_domain == election.failure_domain) {
      receivers.push_back(name);
    }
  }
  return receivers;
}

std::vector<std::string> ListOtherAggregators(
    const AggregatorElection& election,
    const MemberTable& table,
    TimePoint now) {
  std::set<std::string> domains = FailureDomains(table);
  domains.erase(election.failure_domain);
  std::vector<std::string> aggregators;
  for (const std::string& domain : domains) {
    const auto ranked = RankAggregators(table, domain, now);
    if (!ranked.empty()) {
      aggregators.push_back(ranked.front());
    }
  }
  return aggregators;
}

}  // namespace parsleyquay
