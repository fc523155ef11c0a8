#ifndef PARSLEYQUAY_MESH_MEMBER_TABLE_H_
#define PARSLEYQUAY_MESH_MEMBER_TABLE_H_

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
  std::vector<long> duties;

  bool operator==(const MemberStatus&) const = default;
};

struct MemberEntry {
  MemberStatus status;
  TimePoint heard_at;  // when it was last known to live
  // When its silence as an aggregator was noticed, and until when that counts.
  TimePoint suspected_until;

  bool operator==(const MemberEntry&) const = default;
};

// The instances of the fleet, as one of them knows them.
struct MemberTable {
  std::map<std::string, MemberEntry> members;

  bool operator==(const MemberTable&) const = default;
};

// A member that nobody has heard of for that long is taken for dead. Three
// heartbeats, two of which may be lost.
constexpr Duration kSilenceLimit = milliseconds(3'200);

// Notes a status that was true `age` ago. An older one changes nothing.
// Returns whether it says anything new.
bool NoteStatus(MemberTable& table,
                const MemberStatus& status,
                Duration age,
                TimePoint now);

// Notes a record of the store, whose age is not known.
void NoteRecord(MemberTable& table, const MemberRecord& record, TimePoint now);

void RemoveMember(MemberTable& table, const std::string& name);

// Takes a member out of the order of aggregators for some time.
void SuspectMember(MemberTable& table, const std::string& name, TimePoint now);

bool IsAlive(const MemberEntry& entry, TimePoint now);

// The members of a failure domain that may collect and pass on what the others
// say, the first first. Every member ranks them alike.
std::vector<std::string> RankAggregators(const MemberTable& table,
                                         const std::string& failure_domain,
                                         TimePoint now);

// The failure domains of all members, in alphabetical order.
std::set<std::string> FailureDomains(const MemberTable& table);

std::vector<std::string> AllMemberNames(const MemberTable& table);

// The place of a member among all names, from 0.
std::size_t RankOfMember(const MemberTable& table, const std::string& name);

std::size_t CountAlive(const MemberTable& table, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_MESH_MEMBER_TABLE_H_
