#include "mesh/member_news.h"

namespace parsleyquay {

namespace {

// Named for some digests after its silence is noticed, as each may be lost.
constexpr Duration kSilenceToldFor = milliseconds(1'500);

// News on its way to both makes them differ for a moment.
constexpr Duration kPatience = milliseconds(700);
constexpr Duration kQuestionGap = milliseconds(1'500);

}  // namespace

void NoteSilentMembers(MemberNews& news,
                       const MemberTable& table,
                       TimePoint now) {
  for (const auto& [name, entry] : table.members) {
    const Duration silence = now - entry.heard_at;
    if (silence >= kSilenceLimit && silence < kSilenceLimit + kSilenceToldFor) {
      news.changed.insert(name);
    }
  }
}

bool NoteDomainView(MemberNews& news,
                    MemberTable& table,
                    const std::string& failure_domain,
                    const DomainView& view,
                    TimePoint now) {
  if (ConfirmDomain(table, failure_domain, view, now)) {
    news.disagreements.erase(failure_domain);
    return false;
  }
  Disagreement& disagreement =
      news.disagreements.try_emplace(failure_domain, Disagreement{now, {}})
          .first->second;
  if (now - disagreement.since < kPatience ||
      now - disagreement.asked_at < kQuestionGap) {
    return false;
  }
  disagreement.asked_at = now;
  return true;
}

std::vector<DigestMember> DescribeChanged(const MemberNews& news,
                                          const MemberTable& table,
                                          const std::string& failure_domain,
                                          TimePoint now) {
  std::vector<DigestMember> described;
  for (const std::string& name : news.changed) {
    const auto found = table.members.find(name);
    if (found == table.members.end()) {
      continue;
    }
    const MemberEntry& entry = found->second;
    if (failure_domain.empty() ||
        entry.status.record.failure_domain == failure_domain) {
      described.push_back({entry.status, now - entry.heard_at});
    }
  }
  return described;
}

std::vector<DigestMember> DescribeDomains(const MemberTable& table,
                                          const std::set<std::string>& domains,
                                          TimePoint now) {
  std::vector<DigestMember> described;
  for (const auto& [name, entry] : table.members) {
    if (domains.contains(entry.status.record.failure_domain)) {
      described.push_back({entry.status, now - entry.heard_at});
    }
  }
  return described;
}

}  // namespace parsleyquay
