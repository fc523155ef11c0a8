#ifndef PARSLEYQUAY_DISSEMINATION_MEMBER_UPDATES_H_
#define PARSLEYQUAY_DISSEMINATION_MEMBER_UPDATES_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dissemination/digest.h"
#include "dissemination/member_table.h"

namespace parsleyquay {

// A failure domain of which an aggregator knows otherwise.
struct DomainDivergence {
  TimePoint since;
  TimePoint asked_at;

  bool operator==(const DomainDivergence&) const = default;
};

// What is to be said, and to be asked, about other members. A digest names only
// members of whom there is news, and for the rest a fingerprint of each failure
// domain; whoever has lost a digest finds that its fingerprint differs and asks
// for the whole domain. So the cost does not grow with the members that stay as
// they are.
struct MemberUpdates {
  std::set<std::string> changed_members;  // to be named in the next digest
  std::map<std::string, DomainDivergence> divergences;  // by failure domain
  // Failure domains to be described, by the member that asked.
  std::map<std::string, std::set<std::string>> list_requests;

  bool operator==(const MemberUpdates&) const = default;
};

// Adds the members whose silence has lately passed the limit.
void AddSilentMembers(MemberUpdates& updates,
                      const MemberTable& table,
                      TimePoint now);

// Compares with what an aggregator says of a failure domain. Returns whether to
// ask it for the whole domain.
bool ReconcileDomainView(MemberUpdates& updates,
                         MemberTable& table,
                         const std::string& failure_domain,
                         const DomainView& view,
                         TimePoint now);

// Names the changed members, of one failure domain or (empty) of all.
std::vector<DigestMember> ListChangedMembers(const MemberUpdates& updates,
                                             const MemberTable& table,
                                             const std::string& failure_domain,
                                             TimePoint now);

// Names all members of some failure domains, the silent ones too.
std::vector<DigestMember> ListDomainMembers(
    const MemberTable& table,
    const std::set<std::string>& domains,
    TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_MEMBER_UPDATES_H_
