#include "mesh/member_news.h"

namespace parsleyquay {

namespace {

// How long a silent member is listed in digests after it has timed out. Several
// digests list it because each of them may be lost.
constexpr Duration kSilenceReportPeriod = milliseconds(1'500);

// How long views may differ before the member list is requested. An update that
// has reached only one side makes them differ for a moment.
constexpr Duration kDivergenceTolerance = milliseconds(700);
constexpr Duration kMinRequestInterval = milliseconds(1'500);

}  // namespace

void NoteSilentMembers(MemberNews& updates,
                       const MemberTable& table,
                       TimePoint now) {
  for (const auto& [name, entry] : table.members) {
    const Duration silence = now - entry.heard_at;
    if (silence >= kSilenceLimit &&
        silence < kSilenceLimit + kSilenceReportPeriod) {
      updates.changed.insert(name);
    }
  }
}

bool NoteDomainView(MemberNews& updates,
                    MemberTable& table,
                    const std::string& failure_domain,
                    const DomainView& view,
                    TimePoint now) {
  if (ConfirmDomain(table, failure_domain, view, now)) {
    updates.disagreements.erase(failure_domain);
    return false;
  }
  Disagreement& divergence =
      updates.disagreements.try_emplace(failure_domain, Disagreement{now, {}})
          .first->second;
  if (now - divergence.since < kDivergenceTolerance ||
      now - divergence.asked_at < kMinRequestInterval) {
    return false;
  }
  divergence.asked_at = now;
  return true;
}

std::vector<DigestMember> DescribeChanged(const MemberNews& updates,
                                          const MemberTable& table,
                                          const std::string& failure_domain,
                                          TimePoint now) {
  std::vector<DigestMember> listed;
  for (const std::string& name : updates.changed) {
    const auto found = table.members.find(name);
    if (found == table.members.end()) {
      continue;
    }
    const MemberEntry& entry = found->second;
    if (failure_domain.empty() ||
        entry.status.record.failure_domain == failure_domain) {
      listed.push_back({entry.status, now - entry.heard_at});
    }
  }
  return listed;
}

std::vector<DigestMember> DescribeDomains(const MemberTable& table,
                                          const std::set<std::string>& domains,
                                          TimePoint now) {
  std::vector<DigestMember> listed;
  for (const auto& [name, entry] : table.members) {
    if (domains.contains(entry.status.record.failure_domain)) {
      listed.push_back({entry.status, now - entry.heard_at});
    }
  }
  return listed;
}

}  // namespace parsleyquay
