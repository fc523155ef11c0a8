#ifndef PARSLEYQUAY_DISSEMINATION_MEMBER_TABLE_H_
#define PARSLEYQUAY_DISSEMINATION_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/member_record.h"

namespace parsleyquay {

// What an instance says of itself with each heartbeat.
struct MemberStatus {
  MemberRecord record;
  bool is_ready = false;    // serves callers
  bool is_leaving = false;  // ends soon
  std::vector<long> owned_shards;

  bool operator==(const MemberStatus&) const = default;
};

struct MemberEntry {
  MemberStatus status;
  TimePoint last_heard_at;  // when it was last known to live
  // `last_heard_at` stands for the whole failure domain, see
  // `ConfirmDomainView`; what is said of the member itself goes before it.
  bool is_confirmed_by_domain = false;
  // When its silence as an aggregator was noticed, and until when that counts.
  TimePoint suspected_until;

  bool operator==(const MemberEntry&) const = default;
};

// What an aggregator knows of a whole failure domain, in a few bytes: who lives
// there and what each last said of itself.
struct DomainView {
  std::uint64_t fingerprint = 0;
  Duration age = Duration(0);  // since somebody of it was heard

  bool operator==(const DomainView&) const = default;
};

// The instances of the fleet, as one of them knows them.
struct MemberTable {
  std::map<std::string, MemberEntry> members;

  bool operator==(const MemberTable&) const = default;
};

// A member that nobody has heard of for that long is taken for dead. Three
// heartbeats, two of which may be lost.
constexpr Duration kMemberTimeout = milliseconds(3'200);

// Notes a status that was true `age` ago. An older one changes nothing.
// Returns whether it says anything new.
bool UpdateMemberStatus(MemberTable& table,
                        const MemberStatus& status,
                        Duration age,
                        TimePoint now);

// Notes a record of the store, whose age is not known. Returns whether it says
// anything new.
bool UpdateMemberRecord(MemberTable& table,
                        const MemberRecord& record,
                        TimePoint now);

void RemoveMember(MemberTable& table, const std::string& name);

// Takes a member out of the order of aggregators for some time.
void SuspectMember(MemberTable& table, const std::string& name, TimePoint now);

bool IsAlive(const MemberEntry& entry, TimePoint now);

// What the table says of one failure domain.
DomainView ComputeDomainView(const MemberTable& table,
                             const std::string& failure_domain,
                             TimePoint now);

// Takes all members of a failure domain for heard `view.age` ago if the table
// agrees with the view. Returns whether it does. Comparing fingerprints before
// contents is anti-entropy (Demers et al., 1987, section 1.3).
bool ConfirmDomainView(MemberTable& table,
                       const std::string& failure_domain,
                       const DomainView& view,
                       TimePoint now);

// The living members of a failure domain that stay, those with the most to work
// with first. Every member ranks them alike.
std::vector<std::string> RankMembers(const MemberTable& table,
                                     const std::string& failure_domain,
                                     TimePoint now);

// Those that may collect and pass on what the others say, the first first:
// without those whose silence as an aggregator this member has noticed.
std::vector<std::string> RankAggregators(const MemberTable& table,
                                         const std::string& failure_domain,
                                         TimePoint now);

// The failure domains of all members, in alphabetical order.
// Whether a member is known to be of another failure domain.
bool IsOfAnotherDomain(const MemberTable& table,
                       const std::string& member,
                       const std::string& failure_domain);

std::set<std::string> FailureDomains(const MemberTable& table);

std::vector<std::string> AllMemberNames(const MemberTable& table);

// The place of a member among all names, from 0.
std::size_t RankOfMember(const MemberTable& table, const std::string& name);

std::size_t CountAlive(const MemberTable& table, TimePoint now);

// Whether at least half of the members are known to live.
bool IsAtLeastHalfAlive(const MemberTable& table, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_MEMBER_TABLE_H_
