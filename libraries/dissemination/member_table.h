#ifndef PARSLEYQUAY_DISSEMINATION_MEMBER_TABLE_H_
#define PARSLEYQUAY_DISSEMINATION_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/member_record.h"

namespace parsleyquay {

// The status that an instance announces with each heartbeat.
struct MemberStatus {
  MemberRecord record;
  bool is_ready = false;    // accepts requests from callers
  bool is_leaving = false;  // shuts down soon
  std::vector<long> owned_shards;

  bool operator==(const MemberStatus&) const = default;
};

struct MemberEntry {
  MemberStatus status;
  TimePoint last_heard_at;  // when the member was last known to be alive
  // Whether `last_heard_at` comes from ConfirmDomainView(), which only knows
  // the newest time of the whole domain. The next status of the member itself
  // overwrites it, even with an earlier time.
  bool is_confirmed_by_domain = false;
  // When this instance first heard that the member owns a shard, for each shard
  // that it owns.
  std::map<long, TimePoint> shard_claims;
  // Until when the member is not ranked as an aggregator because it was silent.
  TimePoint suspected_until;

  bool operator==(const MemberEntry&) const = default;
};

// A summary of the live members of a failure domain in a few bytes.
struct DomainView {
  std::uint64_t fingerprint = 0;  // over the status of every live member
  Duration age = Duration(0);     // since any member was last heard

  bool operator==(const DomainView&) const = default;
};

// The instances of the fleet that one of them knows, including itself.
struct MemberTable {
  std::map<std::string, MemberEntry> members;  // by name

  bool operator==(const MemberTable&) const = default;
};

// A member that has not been heard for this long counts as dead. This is the
// time of three heartbeats, two of which may be lost.
constexpr Duration kMemberTimeout = milliseconds(3'200);

// What an update has changed in the entry of a member.
enum class MemberUpdateResult {
  kNothing,
  kReturned,  // the status is the same, but the member had been silent
  kChanged,   // the status
};

// Updates a member with the status that it had `age` ago, unless a newer status
// is known.
MemberUpdateResult UpdateMemberStatus(MemberTable& table,
                                      const MemberStatus& status,
                                      Duration age,
                                      TimePoint now);

// Adds a member by its record in the store, or replaces the member if its
// record differs. Because the age of the record is not known, the member counts
// as ready and as heard at `now`. Returns whether the table has changed.
bool UpdateMemberRecord(MemberTable& table,
                        const MemberRecord& record,
                        TimePoint now);

// Records that a member is alive now, without a new status. Returns whether it
// had been silent.
bool RecordAlive(MemberTable& table, const std::string& name, TimePoint now);

void RemoveMember(MemberTable& table, const std::string& name);

// Excludes a member from the ranking of aggregators for some time.
void SuspectMember(MemberTable& table, const std::string& name, TimePoint now);

// Ends the exclusion of a member from the ranking of aggregators.
void EndSuspicion(MemberTable& table, const std::string& name);

// Returns whether the member was heard within kMemberTimeout.
bool IsAlive(const MemberEntry& entry, TimePoint now);

// Returns the table's view of one failure domain.
DomainView ComputeDomainView(const MemberTable& table,
                             const std::string& failure_domain,
                             TimePoint now);

// If the table agrees with an aggregator's view of a failure domain, records
// that all live members of that domain were heard `view.age` ago. Returns
// whether it agrees. Comparing fingerprints before contents is anti-entropy
// (Demers et al., 1987, section 1.3).
bool ConfirmDomainView(MemberTable& table,
                       const std::string& failure_domain,
                       const DomainView& view,
                       TimePoint now);

// Returns the live members of a failure domain that are not leaving, in the
// order in which they serve as aggregators: by capacity, then in rendezvous
// order. Members with the same table compute the same order.
std::vector<std::string> RankMembers(const MemberTable& table,
                                     const std::string& failure_domain,
                                     TimePoint now);

// Returns the ranked members without those that this instance suspects. The
// first one is the aggregator of the failure domain.
std::vector<std::string> RankAggregators(const MemberTable& table,
                                         const std::string& failure_domain,
                                         TimePoint now);

// Returns whether the member is known and belongs to another failure domain.
bool IsOfAnotherDomain(const MemberTable& table,
                       const std::string& member,
                       const std::string& failure_domain);

// Returns the failure domains of all members, in alphabetical order.
std::set<std::string> FailureDomains(const MemberTable& table);

// Returns the live members other than `name` that own the shard. There may be
// several for a short time.
std::vector<const MemberEntry*> OtherOwners(const MemberTable& table,
                                            const std::string& name,
                                            long shard,
                                            TimePoint now);

// Returns the latest time at which one of the other owners was first heard to
// own the shard, or std::nullopt if there is none.
std::optional<TimePoint> NewestOtherClaim(const MemberTable& table,
                                          const std::string& name,
                                          long shard,
                                          TimePoint now);

// Returns the latest time at which a silent member other than `name` was heard
// whose last status states that it owns the shard, or std::nullopt if there is
// none. Such a member may still own it beyond a network partition.
std::optional<TimePoint> NewestSilentClaim(const MemberTable& table,
                                           const std::string& name,
                                           long shard,
                                           TimePoint now);

std::vector<std::string> AllMemberNames(const MemberTable& table);

// Returns the position of a member among all names in alphabetical order, from
// 0.
std::size_t RankOfMember(const MemberTable& table, const std::string& name);

std::size_t CountAlive(const MemberTable& table, TimePoint now);

// Returns the fraction of the live members that are in the failure domain, or 1
// if none of them is.
double ShareOfLiveMembers(const MemberTable& table,
                          const std::string& failure_domain,
                          TimePoint now);

// Returns the fraction of the members that were lost without leaving in the
// last seconds. Clients still use the addresses of such members.
double ShareOfRecentlyLostMembers(const MemberTable& table, TimePoint now);

// Returns whether at least half of the members are alive.
bool IsAtLeastHalfAlive(const MemberTable& table, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_MEMBER_TABLE_H_
