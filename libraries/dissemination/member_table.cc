#include "dissemination/member_table.h"

#include <algorithm>
#include <iterator>

#include "base/rendezvous.h"

namespace parsleyquay {

namespace {

// A suspected aggregator is passed over at least that long; its heartbeats may
// still be on their way.
constexpr Duration kSuspicion = seconds(3);

bool IsMemberOf(const MemberEntry& entry, const std::string& failure_domain) {
  return entry.status.record.failure_domain == failure_domain;
}

// What an aggregator of a large failure domain needs; more makes no difference,
// so that members alike take turns over the names.
constexpr Capacity kAggregatorNeed = {.processor = 0.4, .link = 100};

// The share of an aggregator's need that a member can meet, in tenths.
int CapacityClass(const MemberEntry& entry) {
  const Capacity& capacity = entry.status.record.capacity;
  const double share =
      std::min({1.0, capacity.processor / kAggregatorNeed.processor,
                capacity.link / kAggregatorNeed.link});
  return static_cast<int>(share * 10);
}

std::uint64_t FingerprintOf(const MemberStatus& status) {
  std::string text = status.record.name;
  text += status.is_ready ? " ready" : "";
  text += status.is_leaving ? " leaving" : "";
  for (const long shard : status.owned_shards) {
    text += ' ' + std::to_string(shard);
  }
  return RendezvousWeight(status.record.incarnation, text);
}

}  // namespace

bool UpdateMemberStatus(MemberTable& table,
                        const MemberStatus& status,
                        Duration age,
                        TimePoint now) {
  MemberEntry& entry = table.members[status.record.name];
  const TimePoint heard_at = now - age;
  if (heard_at < entry.last_heard_at && !entry.is_confirmed_by_domain) {
    return false;
  }
  entry.is_confirmed_by_domain = false;
  const bool is_new_life =
      entry.status.record.incarnation != status.record.incarnation;
  if (is_new_life) {
    entry.suspected_until = TimePoint();
  }
  const bool is_news = entry.status != status;
  entry.status = status;
  entry.last_heard_at = heard_at;
  return is_news;
}

bool UpdateMemberRecord(MemberTable& table,
                        const MemberRecord& record,
                        TimePoint now) {
  const auto found = table.members.find(record.name);
  if (found != table.members.end() && found->second.status.record == record) {
    return false;
  }
  table.members[record.name] = {.status = {.record = record, .is_ready = true},
                                .last_heard_at = now};
  return true;
}

void RemoveMember(MemberTable& table, const std::string& name) {
  table.members.erase(name);
}

void SuspectMember(MemberTable& table, const std::string& name, TimePoint now) {
  const auto found = table.members.find(name);
  if (found != table.members.end()) {
    found->second.suspected_until = now + kSuspicion;
  }
}

bool IsAlive(const MemberEntry& entry, TimePoint now) {
  return now - entry.last_heard_at < kMemberTimeout;
}

DomainView ComputeDomainView(const MemberTable& table,
                             const std::string& failure_domain,
                             TimePoint now) {
  DomainView view{.age = kMemberTimeout};
  for (const auto& [name, entry] : table.members) {
    if (IsMemberOf(entry, failure_domain) && IsAlive(entry, now)) {
      // The sum is the same in whichever order members are added.
      view.fingerprint += FingerprintOf(entry.status);
      view.age = std::min(view.age, now - entry.last_heard_at);
    }
  }
  return view;
}

bool ConfirmDomainView(MemberTable& table,
                       const std::string& failure_domain,
                       const DomainView& view,
                       TimePoint now) {
  if (ComputeDomainView(table, failure_domain, now).fingerprint !=
      view.fingerprint) {
    return false;
  }
  const TimePoint heard_at = now - view.age;
  for (auto& [name, entry] : table.members) {
    if (IsMemberOf(entry, failure_domain) && IsAlive(entry, now) &&
        entry.last_heard_at < heard_at) {
      entry.last_heard_at = heard_at;
      entry.is_confirmed_by_domain = true;
    }
  }
  return true;
}

std::vector<std::string> RankMembers(const MemberTable& table,
                                     const std::string& failure_domain,
                                     TimePoint now) {
  std::vector<std::string> names;
  for (const auto& [name, entry] : table.members) {
    if (IsMemberOf(entry, failure_domain) && IsAlive(entry, now) &&
        !entry.status.is_leaving) {
      names.push_back(name);
    }
  }
  std::vector<std::string> ranked =
      RankByRendezvous("aggregator", std::move(names));
  std::ranges::stable_sort(ranked, std::greater<>(),
                           [&](const std::string& name) {
                             return CapacityClass(table.members.at(name));
                           });
  return ranked;
}

std::vector<std::string> RankAggregators(const MemberTable& table,
                                         const std::string& failure_domain,
                                         TimePoint now) {
  std::vector<std::string> ranked = RankMembers(table, failure_domain, now);
  std::erase_if(ranked, [&](const std::string& name) {
    return table.members.at(name).suspected_until > now;
  });
  return ranked;
}

bool IsOfAnotherDomain(const MemberTable& table,
                       const std::string& member,
                       const std::string& failure_domain) {
  const auto found = table.members.find(member);
  return found != table.members.end() &&
         !IsMemberOf(found->second, failure_domain);
}

std::set<std::string> FailureDomains(const MemberTable& table) {
  std::set<std::string> domains;
  std::ranges::transform(table.members, std::inserter(domains, domains.end()),
                         [](const auto& item) {
                           return item.second.status.record.failure_domain;
                         });
  return domains;
}

std::vector<std::string> AllMemberNames(const MemberTable& table) {
  std::vector<std::string> names;
  std::ranges::transform(table.members, std::back_inserter(names),
                         [](const auto& item) { return item.first; });
  return names;
}

std::size_t RankOfMember(const MemberTable& table, const std::string& name) {
  return static_cast<std::size_t>(
      std::distance(table.members.begin(), table.members.lower_bound(name)));
}

std::size_t CountAlive(const MemberTable& table, TimePoint now) {
  return static_cast<std::size_t>(std::ranges::count_if(
      table.members,
      [&](const auto& item) { return IsAlive(item.second, now); }));
}

bool IsAtLeastHalfAlive(const MemberTable& table, TimePoint now) {
  return CountAlive(table, now) * 2 >=
         std::max<std::size_t>(1, table.members.size());
}

}  // namespace parsleyquay
