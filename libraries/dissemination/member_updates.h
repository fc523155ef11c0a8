#ifndef PARSLEYQUAY_DISSEMINATION_MEMBER_UPDATES_H_
#define PARSLEYQUAY_DISSEMINATION_MEMBER_UPDATES_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dissemination/digest.h"
#include "dissemination/member_table.h"

namespace parsleyquay {

// A failure domain for which an aggregator's fingerprint differs from this
// instance's member table.
struct DomainDivergence {
  TimePoint since;
  TimePoint requested_at;  // when its member list was last requested

  bool operator==(const DomainDivergence&) const = default;
};

// What the next digests must contain (changed members, and member lists that
// other members have requested), and in which failure domains this instance's
// table differs from that of an aggregator.
//
// A digest lists only the members whose status has changed, and contains a
// fingerprint of the members of each failure domain. A receiver that has lost a
// digest finds that the fingerprint differs from its own and requests the
// member list of that failure domain. The size of a digest therefore does not
// depend on the number of unchanged members.
struct MemberUpdates {
  std::set<std::string>
      changed_members;  // names of members for the next digest
  std::map<std::string, DomainDivergence> divergences;  // by failure domain
  // Failure domains whose member lists were requested, by requesting member.
  std::map<std::string, std::set<std::string>> list_requests;
  std::string last_requester;  // whose request was taken last
  // When a member that had been silent was last heard again.
  TimePoint member_returned_at;

  bool operator==(const MemberUpdates&) const = default;
};

// Adds the members that have recently become silent for longer than
// kMemberTimeout to the changed ones.
void AddSilentMembers(MemberUpdates& updates,
                      const MemberTable& table,
                      TimePoint now);

// Adds the live members of the own failure domain that own shards to the
// changed ones, since the aggregators of other failure domains may disagree
// with its view for seconds. Adds those of all failure domains while members
// have recently returned or wait for member lists, which take seconds if many
// wait. The number of owners is limited by that of the shards.
void AddOwners(MemberUpdates& updates,
               const MemberTable& table,
               const std::string& own_domain,
               TimePoint now);

// Adds this instance, `name`, to the changed members with its current status.
// Receivers of a digest count its sender as alive, so one that was silent to
// them would otherwise return with the status that it had before.
void AddOwnStatus(MemberUpdates& updates,
                  MemberTable& table,
                  const std::string& name,
                  TimePoint now);

// Records that a member that had been silent was heard again. The tables of
// this instance and its aggregator probably differ in more than that.
void RecordReturn(MemberUpdates& updates, TimePoint now);

// Compares an aggregator's view of a failure domain with the table, and if they
// match, confirms the members. Returns whether to request the member list: the
// views have differed for a while, and no request was sent recently.
bool ReconcileDomainView(MemberUpdates& updates,
                         MemberTable& table,
                         const std::string& failure_domain,
                         const DomainView& view,
                         TimePoint now);

// Returns the changed members of one failure domain, or of all if
// `failure_domain` is empty.
std::vector<DigestMember> ListChangedMembers(const MemberUpdates& updates,
                                             const MemberTable& table,
                                             const std::string& failure_domain,
                                             TimePoint now);

// Removes the next request for member lists and returns it. Requests of other
// failure domains come first: they are from aggregators, whose members wait for
// the same lists. The others are taken in turn, since members repeat their
// requests faster than all are answered in a large failure domain. There must
// be a request.
MemberListRequest TakeListRequest(MemberUpdates& updates,
                                  const MemberTable& table,
                                  const std::string& own_domain);

// Returns all members of the failure domains, including the silent ones.
std::vector<DigestMember> ListDomainMembers(
    const MemberTable& table,
    const std::set<std::string>& domains,
    TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_MEMBER_UPDATES_H_
