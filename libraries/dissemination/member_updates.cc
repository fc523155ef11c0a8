#include "dissemination/member_updates.h"

namespace parsleyquay {

namespace {

// Named for some digests after its silence is noticed, as each may be lost.
constexpr Duration kSilenceToldFor = milliseconds(1'500);

// News on its way to both makes them differ for a moment.
constexpr Duration kPatience = milliseconds(700);
constexpr Duration kRequestInterval = milliseconds(1'500);

}  // namespace

void AddSilentMembers(MemberUpdates& updates,
                      const MemberTable& table,
                      TimePoint now) {
  for (const auto& [name, entry] : table.members) {
    const Duration silence = now - entry.last_heard_at;
    if (silence >= kMemberTimeout &&
        silence < kMemberTimeout + kSilenceToldFor) {
      updates.changed_members.insert(name);
    }
  }
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
  if (now - divergence.since < kPatience ||
      now - divergence.asked_at < kRequestInterval) {
    return false;
  }
  divergence.asked_at = now;
  return true;
}

std::vector<DigestMember> ListChangedMembers(const MemberUpdates& updates,
                                             const MemberTable& table,
                                             const std::string& failure_domain,
                                             TimePoint now) {
  std::vector<DigestMember> described;
  for (const std::string& name : updates.changed_members) {
    const auto found = table.members.find(name);
    if (found == table.members.end()) {
      continue;
    }
    const MemberEntry& entry = found->second;
    if (failure_domain.empty() ||
        entry.status.record.failure_domain == failure_domain) {
      described.push_back({entry.status, now - entry.last_heard_at});
    }
  }
  return described;
}

std::vector<DigestMember> ListDomainMembers(
    const MemberTable& table,
    const std::set<std::string>& domains,
    TimePoint now) {
  std::vector<DigestMember> described;
  for (const auto& [name, entry] : table.members) {
    if (domains.contains(entry.status.record.failure_domain)) {
      described.push_back({entry.status, now - entry.last_heard_at});
    }
  }
  return described;
}

}  // namespace parsleyquay
