#ifndef PARSLEYQUAY_DISSEMINATION_AGGREGATOR_ELECTION_H_
#define PARSLEYQUAY_DISSEMINATION_AGGREGATOR_ELECTION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.h"
#include "dissemination/member_table.h"

namespace parsleyquay {

// The role of this instance in the exchange within its failure domain.
struct AggregationRole {
  bool is_aggregator = false;  // collects and forwards the members' reports
  bool is_standby = false;     // succeeds the aggregator
  // Receives no digests.
  bool is_without_aggregator = true;

  bool operator==(const AggregationRole&) const = default;
};

// Which aggregator this instance follows. There is no vote: every member ranks
// the members that it knows to be alive, and follows the first one.
struct AggregatorElection {
  std::string name;            // of this instance
  std::string failure_domain;  // of this instance
  AggregationRole role;
  // Candidates for aggregator of this failure domain, by rank. The first one is
  // the aggregator.
  std::vector<std::string> candidates;
  TimePoint aggregator_since;    // when the first one became the aggregator
  TimePoint digest_received_at;  // the newest digest of the aggregator

  bool operator==(const AggregatorElection&) const = default;
};

// Returns the name of the aggregator that this instance follows, which may be
// its own, or "" if it knows none.
std::string FollowedAggregator(const AggregatorElection& election);

// Returns the place of a member among the candidates, from 0, or their number
// if it is none of them.
std::size_t RankOfCandidate(const AggregatorElection& election,
                            const std::string& member);

// Ranks the candidates anew. To be called periodically and after every digest.
void UpdateElection(AggregatorElection& election,
                    const MemberTable& table,
                    TimePoint now);

// Records that a digest of `sender` was received: the sender is alive and not
// suspected. Returns whether it had been silent.
bool RecordDigestSender(AggregatorElection& election,
                        MemberTable& table,
                        const std::string& sender,
                        TimePoint now);

// Suspects the aggregator if it has sent no digest for too long. Returns
// whether it does. UpdateElection() must be called afterwards.
bool SuspectSilentAggregator(const AggregatorElection& election,
                             MemberTable& table,
                             TimePoint now);

// Returns whether this instance accepts `member` as the authority on the
// members of a failure domain. An aggregator accepts only members of that
// domain, and none for its own domain. Any other instance accepts only its own
// aggregator, for all domains.
bool IsAuthoritativeFor(const AggregatorElection& election,
                        const MemberTable& table,
                        const std::string& member,
                        const std::string& failure_domain);

// Returns the names of the members to which this instance sends heartbeats: the
// aggregator and its standby.
std::vector<std::string> ListHeartbeatReceivers(
    const AggregatorElection& election);

// Return the names of the members to which an aggregator sends its digests: the
// live members of its own failure domain, and the aggregator of each other one.
std::vector<std::string> ListOwnDomainReceivers(
    const AggregatorElection& election,
    const MemberTable& table,
    TimePoint now);
std::vector<std::string> ListOtherAggregators(
    const AggregatorElection& election,
    const MemberTable& table,
    TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_AGGREGATOR_ELECTION_H_
