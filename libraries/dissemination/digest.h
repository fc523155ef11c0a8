#ifndef PARSLEYQUAY_DISSEMINATION_DIGEST_H_
#define PARSLEYQUAY_DISSEMINATION_DIGEST_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/coordination_store.h"
#include "dissemination/member_table.h"
#include "dissemination/outcome_summary.h"
#include "dissemination/rollout_news.h"
#include "retry/credit_message.h"

namespace parsleyquay {

// The message by which a member tells the aggregator of its failure domain, and
// the next member in the ranking, that it is alive.
struct Heartbeat {
  MemberStatus status;
  // The aggregator that the sender follows; may be the sender itself. Empty if
  // it knows none, and from instances of earlier versions.
  std::string aggregator;

  bool operator==(const Heartbeat&) const = default;
};

// The status of one member as part of a digest.
struct DigestMember {
  MemberStatus status;
  Duration age = Duration(0);  // since the member was last heard

  bool operator==(const DigestMember&) const = default;
};

// The message by which an aggregator forwards what it knows to the members of
// its failure domain and to the aggregators of the other failure domains. Each
// failure domain has one aggregator: the member that collects the heartbeats
// and outcomes of its domain and forwards them as digests. The next member in
// the ranking is its standby.
struct Digest {
  std::string sender;  // name of the member that sends it
  std::uint64_t configuration_version = 0;
  // The newest position of the operators' change feed that the sender has read
  // or heard of.
  FeedPosition operator_position;
  // How long ago the operators' feed was last known to end at
  // `operator_position`, at the time of sending: no earlier change is missing
  // from it. Unset if the sender does not know; instances of earlier versions
  // do not state it.
  std::optional<Duration> operator_feed_age;
  // Whether the sender has the state at `operator_position`.
  bool has_operator_state = false;
  // Whether the sender answers requests for the state of the operators' feed.
  bool serves_configuration = false;
  // `server_changes` are all the changes between these positions of the
  // servers' change feed. With `has_full_server_list` they are the listings of
  // all servers at `servers_to` instead: a server without one is not listed.
  FeedPosition servers_from;
  FeedPosition servers_to;
  bool has_full_server_list = false;
  std::vector<ServerChange> server_changes;
  // How long ago the sender's list of servers was last known to contain all
  // changes, at the time of sending. Instances of earlier versions do not state
  // it.
  std::optional<Duration> server_list_age;
  std::vector<DigestMember> members;  // only those whose status has changed
  std::map<std::string, DomainView> domains;  // by failure domain
  OutcomeSummary outcomes;
  std::vector<RolloutNews> rollouts;  // the newest known status of each
  // Unset unless instances give each other credit for retries.
  std::optional<CreditNews> retry_credit;

  bool operator==(const Digest&) const = default;
};

// A request to an aggregator for the full member lists of failure domains, sent
// if the fingerprint of a domain in a received digest differs from the
// receiver's member table.
struct MemberListRequest {
  std::string sender;                // name of the member that requests them
  std::vector<std::string> domains;  // names of the failure domains

  bool operator==(const MemberListRequest&) const = default;
};

// A request to a member for its full list of servers, sent by a member that
// misses changes and cannot read them from the store.
struct ServerListRequest {
  std::string sender;  // name of the member that requests it

  bool operator==(const ServerListRequest&) const = default;
};

// The RPC method of a notification that carries a digest.
constexpr char kDigestMethod[] = "digest";

// Splits a digest into parts with at most `max_members` members each, because
// the members of a large fleet do not fit into one datagram. The first part
// carries everything else.
std::vector<Digest> SplitDigest(Digest digest, std::size_t max_members);

// These encode messages as the parameters of notifications, and decode them.
// Members, servers and outcomes are encoded as arrays without field names to
// keep datagrams small, and times as milliseconds before `now`. Decoding
// returns std::nullopt if the parameters are malformed. Eras of positions are
// encoded apart and only if there are any: instances of earlier versions ignore
// them.
Json::Value EncodeHeartbeat(const Heartbeat& heartbeat);
std::optional<Heartbeat> DecodeHeartbeat(const Json::Value& parameters);
Json::Value EncodeDigest(const Digest& digest, TimePoint now);
std::optional<Digest> DecodeDigest(const Json::Value& parameters,
                                   TimePoint now);
Json::Value EncodeMemberListRequest(const MemberListRequest& request);
std::optional<MemberListRequest> DecodeMemberListRequest(
    const Json::Value& parameters);
Json::Value EncodeServerListRequest(const ServerListRequest& request);
std::optional<ServerListRequest> DecodeServerListRequest(
    const Json::Value& parameters);
Json::Value EncodeOutcome(const OutcomeReport& report);
std::optional<OutcomeReport> DecodeOutcome(const Json::Value& parameters);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_DIGEST_H_
