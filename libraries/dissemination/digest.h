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

namespace parsleyquay {

// A heartbeat of one member to the aggregators of its failure domain.
struct Heartbeat {
  MemberStatus status;

  bool operator==(const Heartbeat&) const = default;
};

// A member as a digest names it.
struct DigestMember {
  MemberStatus status;
  Duration age = Duration(0);  // since it was last heard

  bool operator==(const DigestMember&) const = default;
};

// What an aggregator passes on to the members of its failure domain and to
// the aggregators of the others.
struct Digest {
  std::string sender;
  std::uint64_t configuration_version = 0;
  std::uint64_t operator_position = 0;  // of the operators' feed
  // The part of the servers' feed that `server_changes` covers.
  std::uint64_t servers_from = 0;
  std::uint64_t servers_to = 0;
  std::vector<ServerChange> server_changes;
  std::vector<DigestMember> members;  // those of whom there is news
  std::map<std::string, DomainView> domains;
  OutcomeSummary outcomes;

  bool operator==(const Digest&) const = default;
};

// A question to an aggregator that knows some failure domains otherwise.
struct MemberListRequest {
  std::string sender;
  std::vector<std::string> domains;

  bool operator==(const MemberListRequest&) const = default;
};

// The method of a notification that carries a digest.
constexpr char kDigestMethod[] = "digest";

// Splits a digest so that each names no more than `most` members: a large fleet
// does not fit one datagram. The first keeps all else.
std::vector<Digest> SplitDigest(Digest digest, std::size_t most);

// The parameters of a notification, as short arrays; times as milliseconds
// before the moment of sending.
Json::Value EncodeHeartbeat(const Heartbeat& heartbeat);
std::optional<Heartbeat> DecodeHeartbeat(const Json::Value& parameters);
Json::Value EncodeDigest(const Digest& digest, TimePoint now);
std::optional<Digest> DecodeDigest(const Json::Value& parameters,
                                   TimePoint now);
Json::Value EncodeMemberListRequest(const MemberListRequest& request);
std::optional<MemberListRequest> DecodeMemberListRequest(
    const Json::Value& parameters);
Json::Value EncodeOutcome(const OutcomeReport& report);
std::optional<OutcomeReport> DecodeOutcome(const Json::Value& parameters);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_DIGEST_H_
