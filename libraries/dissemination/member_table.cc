#include "dissemination/member_table.h"

#include <algorithm>
#include <iterator>

#include "base/rendezvous.h"

namespace parsleyquay {

namespace {

// How long a suspected aggregator is not ranked. Its heartbeats may still
// arrive during that time.
constexpr Duration kSuspicionPeriod = seconds(3);

// How long clients use the address of a member that was lost, at most: until
// their lists of addresses expire.
constexpr Duration kAddressUsePeriod = seconds(5);

bool IsMemberOf(const MemberEntry& entry, const std::string& failure_domain) {
  return entry.status.record.failure_domain == failure_domain;
}

// The capacity that the aggregator of a large failure domain requires. Capacity
// beyond it does not raise the rank, so that members which meet it are ranked
// in rendezvous order.
constexpr Capacity kRequiredCapacity = {.processor = 0.4, .link = 100};

// Returns the claims of a member that now owns `shards`. A claim that was known
// before keeps its time.
std::map<long, TimePoint> UpdateClaims(const std::map<long, TimePoint>& known,
                                       const std::vector<long>& shards,
                                       TimePoint now) {
  std::map<long, TimePoint> claims;
  for (const long shard : shards) {
    const auto found = known.find(shard);
    claims[shard] = found == known.end() ? now : found->second;
  }
  return claims;
}

// Returns the fraction of the required capacity that a member has, in tenths.
int CapacityClass(const MemberEntry& entry) {
  const Capacity& capacity = entry.status.record.capacity;
  const double fraction =
      std::min({1.0, capacity.processor / kRequiredCapacity.processor,
                capacity.link / kRequiredCapacity.link});
  return static_cast<int>(fraction * 10);
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

MemberUpdateResult UpdateMemberStatus(MemberTable& table,
                                      const MemberStatus& status,
                                      Duration age,
                                      TimePoint now) {
  MemberEntry& entry = table.members[status.record.name];
  const TimePoint heard_at = now - age;
  if (heard_at < entry.last_heard_at && !entry.is_confirmed_by_domain) {
    return MemberUpdateResult::kNothing;
  }
  const bool was_silent = !IsAlive(entry, now);
  entry.is_confirmed_by_domain = false;
  const bool is_new_incarnation =
      entry.status.record.incarnation != status.record.incarnation;
  if (is_new_incarnation) {
    entry.suspected_until = TimePoint();
    entry.shard_claims.clear();
  }
  const bool has_changed = entry.status != status;
  if (has_changed) {
    entry.status = status;
    entry.shard_claims =
        UpdateClaims(entry.shard_claims, status.owned_shards, now);
  }
  entry.last_heard_at = heard_at;
  if (has_changed) {
    return MemberUpdateResult::kChanged;
  }
  return was_silent && IsAlive(entry, now) ? MemberUpdateResult::kReturned
                                           : MemberUpdateResult::kNothing;
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

bool RecordAlive(MemberTable& table, const std::string& name, TimePoint now) {
  const auto found = table.members.find(name);
  if (found == table.members.end()) {
    return false;
  }
  const bool was_silent = !IsAlive(found->second, now);
  found->second.last_heard_at = now;
  return was_silent;
}

void RemoveMember(MemberTable& table, const std::string& name) {
  table.members.erase(name);
}

void SuspectMember(MemberTable& table, const std::string& name, TimePoint now) {
  const auto found = table.members.find(name);
  if (found != table.members.end()) {
    found->second.suspected_until = now + kSuspicionPeriod;
  }
}

void EndSuspicion(MemberTable& table, const std::string& name) {
  const auto found = table.members.find(name);
  if (found != table.members.end()) {
    found->second.suspected_until = TimePoint();
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
      // Adding makes the fingerprint independent of the order of members.
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

std::vector<const MemberEntry*> OtherOwners(const MemberTable& table,
                                            const std::string& name,
                                            long shard,
                                            TimePoint now) {
  std::vector<const MemberEntry*> owners;
  for (const auto& [other, entry] : table.members) {
    if (other != name && IsAlive(entry, now) &&
        entry.shard_claims.contains(shard)) {
      owners.push_back(&entry);
    }
  }
  return owners;
}

std::optional<TimePoint> NewestOtherClaim(const MemberTable& table,
                                          const std::string& name,
                                          long shard,
                                          TimePoint now) {
  std::optional<TimePoint> newest;
  for (const MemberEntry* owner : OtherOwners(table, name, shard, now)) {
    newest = std::max(newest, std::optional(owner->shard_claims.at(shard)));
  }
  return newest;
}

std::optional<TimePoint> NewestSilentClaim(const MemberTable& table,
                                           const std::string& name,
                                           long shard,
                                           TimePoint now) {
  std::optional<TimePoint> newest;
  for (const auto& [other, entry] : table.members) {
    if (other != name && !IsAlive(entry, now) && !entry.status.is_leaving &&
        entry.shard_claims.contains(shard)) {
      newest = std::max(newest, std::optional(entry.last_heard_at));
    }
  }
  return newest;
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

double ShareOfLiveMembers(const MemberTable& table,
                          const std::string& failure_domain,
                          TimePoint now) {
  const auto in_domain =
      std::ranges::count_if(table.members, [&](const auto& item) {
        return IsAlive(item.second, now) &&
               IsMemberOf(item.second, failure_domain);
      });
  return in_domain == 0 ? 1
                        : static_cast<double>(in_domain) /
                              static_cast<double>(CountAlive(table, now));
}

double ShareOfRecentlyLostMembers(const MemberTable& table, TimePoint now) {
  const auto lost = std::ranges::count_if(table.members, [&](const auto& item) {
    const MemberEntry& entry = item.second;
    return !IsAlive(entry, now) && !entry.status.is_leaving &&
           now - entry.last_heard_at < kMemberTimeout + kAddressUsePeriod;
  });
  return static_cast<double>(lost) /
         static_cast<double>(std::max<std::size_t>(1, table.members.size()));
}

bool IsAtLeastHalfAlive(const MemberTable& table, TimePoint now) {
  return CountAlive(table, now) * 2 >=
         std::max<std::size_t>(1, table.members.size());
}

}  // namespace parsleyquay
