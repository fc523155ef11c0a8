#ifndef PARSLEYQUAY_DISSEMINATION_REJOIN_H_
#define PARSLEYQUAY_DISSEMINATION_REJOIN_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "dissemination/aggregator_election.h"
#include "dissemination/digest.h"
#include "dissemination/member_table.h"

namespace parsleyquay {

// Reunites the parts of a fleet after a network partition.
//
// An instance sends messages to live members only, so after a partition of more
// than kMemberTimeout neither side would ever send to the other again, and each
// would keep an aggregator of its own. Therefore:
// - An aggregator, and an instance that receives no digests, sends heartbeats
//   to a few silent members in each interval (probes).
// - Heartbeats name the aggregator that their sender follows. An aggregator
//   that learns of another one in its failure domain sends it a heartbeat.
// - A member that is addressed as an aggregator, but is none, replies with the
//   name of the aggregator that it follows (a referral).
// Once two aggregators of a failure domain have heard each other, both rank
// alike, and the lower one follows the higher one.
//
// Nothing is sent while all members are alive and follow the same aggregator.
// Each kind is limited per interval, independent of the size of the fleet.
struct RejoinState {
  // When a heartbeat or a referral was last sent to a member, by name.
  std::map<std::string, TimePoint> contacted_at;
  std::map<std::string, TimePoint> referred_at;
  // What may still be sent in the current interval.
  int contacts_left = 0;
  int referrals_left = 0;
  std::uint64_t probes_sent = 0;

  bool operator==(const RejoinState&) const = default;
};

// The names of the members to which something is to be sent.
struct RejoinMessages {
  std::vector<std::string> heartbeats;
  std::vector<std::string> referrals;

  bool operator==(const RejoinMessages&) const = default;
};

// A reply to a member that addressed the sender as an aggregator although it is
// none.
struct AggregatorReferral {
  std::string sender;
  std::string aggregator;  // the one that the sender follows

  bool operator==(const AggregatorReferral&) const = default;
};

// The RPC method of a notification that carries a referral.
constexpr char kAggregatorReferralMethod[] = "aggregator_is";

// Begins an interval, and returns the silent members to probe. To be called
// periodically after UpdateElection().
RejoinMessages BeginRejoinInterval(RejoinState& state,
                                   const AggregatorElection& election,
                                   const MemberTable& table,
                                   TimePoint now);

// Returns what to send after a heartbeat was received and merged into the
// table. A sender that acts as an aggregator is no longer suspected.
RejoinMessages OnHeartbeatReceived(RejoinState& state,
                                   const AggregatorElection& election,
                                   MemberTable& table,
                                   const Heartbeat& heartbeat,
                                   TimePoint now);

// Returns what to send after a digest was received. To be called before the
// next UpdateElection().
RejoinMessages OnDigestReceived(RejoinState& state,
                                const AggregatorElection& election,
                                const MemberTable& table,
                                const Digest& digest,
                                TimePoint now);

// Returns what to send after a referral was received.
RejoinMessages OnReferralReceived(RejoinState& state,
                                  const AggregatorElection& election,
                                  const MemberTable& table,
                                  const AggregatorReferral& referral,
                                  TimePoint now);

// These encode a referral as the parameters of a notification, and decode it.
// Decoding returns std::nullopt if the parameters are malformed.
Json::Value EncodeAggregatorReferral(const AggregatorReferral& referral);
std::optional<AggregatorReferral> DecodeAggregatorReferral(
    const Json::Value& parameters);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_REJOIN_H_
