#include "dissemination/member_updates.h"

#include <algorithm>

namespace parsleyquay {

namespace {

// How long a silent member is listed in digests after it has timed out. Several
// digests list it because each of them may be lost.
constexpr Duration kSilenceReportPeriod = milliseconds(1'500);

// How long views may differ before the member list is requested. An update that
// has reached only one side makes them differ for a moment.
constexpr Duration kDivergenceTolerance = milliseconds(700);

// After a network partition the views differ by more than one update. Two
// requests in turn, by an aggregator and by its members, take twice this time.
constexpr Duration kToleranceAfterReturn = milliseconds(200);
constexpr Duration kReturnPeriod = milliseconds(4'000);

// Two intervals of views. A second request makes up for a lost response within
// the time in which all members must know the owners of shards.
constexpr Duration kMinRequestInterval = milliseconds(900);

}  // namespace

void AddSilentMembers(MemberUpdates& updates,
                      const MemberTable& table,
                      TimePoint now) {
  for (const auto& [name, entry] : table.members) {
    const Duration silence = now - entry.last_heard_at;
    if (silence >= kMemberTimeout &&
        silence < kMemberTimeout + kSilenceReportPeriod) {
      updates.changed_members.insert(name);
    }
  }
}

void AddOwners(MemberUpdates& updates,
               const MemberTable& table,
               const std::string& own_domain,
               TimePoint now) {
  const bool has_to_add_all =
      now - updates.member_returned_at < kReturnPeriod ||
      !updates.list_requests.empty();
  for (const auto& [name, entry] : table.members) {
    if (IsAlive(entry, now) && !entry.status.owned_shards.empty() &&
        (has_to_add_all || entry.status.record.failure_domain == own_domain)) {
      updates.changed_members.insert(name);
    }
  }
}

void AddOwnStatus(MemberUpdates& updates,
                  MemberTable& table,
                  const std::string& name,
                  TimePoint now) {
  // Receivers ignore a status that is older than the newest digest of its
  // member. The status of this instance is always current.
  RecordAlive(table, name, now);
  updates.changed_members.insert(name);
}

void RecordReturn(MemberUpdates& updates, TimePoint now) {
  updates.member_returned_at = now;
}

bool ReconcileDomainView(MemberUpdates& updates,
                         MemberTable& table,
                         const std::string& failure_domain,
                         const DomainView& view,
                         TimePoint now) {
  if (ConfirmDomainView(table, failure_domain, view, now)) {
    updates.divergences.erase(failure_domain);
    return false;
  }
  DomainDivergence& divergence =
      updates.divergences.try_emplace(failure_domain, DomainDivergence{now, {}})
          .first->second;
  const Duration tolerance = now - updates.member_returned_at < kReturnPeriod
                                 ? kToleranceAfterReturn
                                 : kDivergenceTolerance;
  if (now - divergence.since < tolerance ||
      now - divergence.requested_at < kMinRequestInterval) {
    return false;
  }
  divergence.requested_at = now;
  return true;
}

std::vector<DigestMember> ListChangedMembers(const MemberUpdates& updates,
                                             const MemberTable& table,
                                             const std::string& failure_domain,
                                             TimePoint now) {
  std::vector<DigestMember> listed;
  for (const std::string& name : updates.changed_members) {
    const auto found = table.members.find(name);
    if (found == table.members.end()) {
      continue;
    }
    const MemberEntry& entry = found->second;
    if (failure_domain.empty() ||
        entry.status.record.failure_domain == failure_domain) {
      listed.push_back({entry.status, now - entry.last_heard_at});
    }
  }
  return listed;
}

MemberListRequest TakeListRequest(MemberUpdates& updates,
                                  const MemberTable& table,
                                  const std::string& own_domain) {
  auto& requests = updates.list_requests;
  auto next = std::ranges::find_if(requests, [&](const auto& request) {
    return IsOfAnotherDomain(table, request.first, own_domain);
  });
  if (next == requests.end()) {
    next = requests.upper_bound(updates.last_requester);
    next = next == requests.end() ? requests.begin() : next;
    updates.last_requester = next->first;
  }
  MemberListRequest taken{.sender = next->first};
  taken.domains.assign(next->second.begin(), next->second.end());
  requests.erase(next);
  return taken;
}

std::vector<DigestMember> ListDomainMembers(
    const MemberTable& table,
    const std::set<std::string>& domains,
    TimePoint now) {
  std::vector<DigestMember> listed;
  for (const auto& [name, entry] : table.members) {
    if (domains.contains(entry.status.record.failure_domain)) {
      listed.push_back({entry.status, now - entry.last_heard_at});
    }
  }
  return listed;
}

}  // namespace parsleyquay
