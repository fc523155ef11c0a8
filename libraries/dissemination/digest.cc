#include "dissemination/digest.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleyquay {

namespace {

constexpr int kReadyFlag = 1;
constexpr int kLeavingFlag = 2;
constexpr int kOutcomeCount = 6;

// Indices of the fields in the encoded arrays.
enum MemberField {
  kName,
  kDomain,
  kRequestAddress,
  kPeerAddress,
  kIncarnation,
  kFlags,
  kShards,
  kProcessor,
  kLink,
  kAge,
  kMemberFields
};
enum ServerField {
  kServer,
  kService,
  kAddress,
  kServerDomain,
  kSlots,
  kDraining,
  kCold,
  kServerIncarnation,
  kSequence,
  kServerVersion,
  kServerFields
};

Json::Value EncodeStatus(const MemberStatus& status) {
  Json::Value row(Json::arrayValue);
  row.append(status.record.name);
  row.append(status.record.failure_domain);
  row.append(status.record.request_address);
  row.append(status.record.peer_address);
  row.append(status.record.incarnation);
  row.append((status.is_ready ? kReadyFlag : 0) |
             (status.is_leaving ? kLeavingFlag : 0));
  Json::Value shards(Json::arrayValue);
  for (const long shard : status.owned_shards) {
    shards.append(Json::Int64(shard));
  }
  row.append(std::move(shards));
  row.append(status.record.capacity.processor);
  row.append(status.record.capacity.link);
  return row;
}

MemberStatus DecodeStatus(const Json::Value& row) {
  const int flags = row[kFlags].asInt();
  MemberStatus status{
      .record = {.name = row[kName].asString(),
                 .failure_domain = row[kDomain].asString(),
                 .request_address = row[kRequestAddress].asString(),
                 .peer_address = row[kPeerAddress].asString(),
                 .incarnation = row[kIncarnation].asString(),
                 .capacity = {row[kProcessor].asDouble(),
                              row[kLink].asDouble()}},
      .is_ready = (flags & kReadyFlag) != 0,
      .is_leaving = (flags & kLeavingFlag) != 0};
  std::ranges::transform(row[kShards], std::back_inserter(status.owned_shards),
                         [](const Json::Value& shard) {
                           return static_cast<long>(shard.asInt64());
                         });
  return status;
}

Json::Value EncodeServerChange(const ServerChange& change) {
  Json::Value row(Json::arrayValue);
  row.append(change.server);
  if (!change.listing) {
    return row;
  }
  const ServerListing& listing = *change.listing;
  row.append(listing.service);
  row.append(listing.address);
  row.append(listing.failure_domain);
  row.append(Json::Int64(listing.slots));
  row.append(listing.is_draining);
  row.append(Json::Int64(ToMilliseconds(listing.cold_remaining)));
  row.append(Json::UInt64(listing.incarnation));
  row.append(Json::UInt64(listing.sequence));
  row.append(listing.version);
  return row;
}

ServerChange DecodeServerChange(const Json::Value& row) {
  ServerChange change{row[kServer].asString(), std::nullopt};
  // Instances of earlier versions state no version.
  if (row.size() == kServerFields || row.size() == kServerVersion) {
    change.listing =
        ServerListing{.service = row[kService].asString(),
                      .address = row[kAddress].asString(),
                      .failure_domain = row[kServerDomain].asString(),
                      .version = row.get(kServerVersion, "").asString(),
                      .slots = static_cast<long>(row[kSlots].asInt64()),
                      .is_draining = row[kDraining].asBool(),
                      .cold_remaining = milliseconds(row[kCold].asInt64()),
                      .incarnation = row[kServerIncarnation].asUInt64(),
                      .sequence = row[kSequence].asUInt64()};
  }
  return change;
}

// Encodes the eras of the positions, by the positions' names.
void EncodeEras(const Digest& digest, Json::Value& parameters) {
  for (const auto& [name, position] : {std::pair("p", digest.operator_position),
                                       std::pair("a", digest.servers_from),
                                       std::pair("z", digest.servers_to)}) {
    if (position.era > 0) {
      parameters["e"][name] = Json::UInt64(position.era);
    }
  }
}

FeedPosition DecodePosition(const Json::Value& parameters, const char* name) {
  return {.era = parameters["e"][name].asUInt64(),
          .offset = parameters[name].asUInt64()};
}

// Encodes the outcomes of a server as an array of the name, the age in
// milliseconds, the load and the count of each outcome up to the last one that
// is not zero.
Json::Value EncodeSummary(const std::string& name,
                          const ServerSummary& server,
                          TimePoint now) {
  Json::Value row(Json::arrayValue);
  row.append(name);
  row.append(Json::Int64(ToMilliseconds(now - server.newest_at)));
  row.append(Json::Int64(server.load));
  if (server.counts.empty()) {
    return row;
  }
  const int last = static_cast<int>(server.counts.rbegin()->first);
  for (int outcome = 0; outcome <= last; ++outcome) {
    const auto count = server.counts.find(static_cast<ServerOutcome>(outcome));
    row.append(Json::Int64(count == server.counts.end() ? 0 : count->second));
  }
  return row;
}

void DecodeSummary(const Json::Value& row,
                   OutcomeSummary& outcomes,
                   TimePoint now) {
  constexpr int kAgeField = 1;
  constexpr int kLoadField = 2;
  constexpr int kFirstCount = 3;
  ServerSummary server;
  server.newest_at = now - milliseconds(row[kAgeField].asInt64());
  server.load = static_cast<long>(row[kLoadField].asInt64());
  for (int outcome = 0; outcome < kOutcomeCount; ++outcome) {
    const auto count = static_cast<long>(row[kFirstCount + outcome].asInt64());
    if (count > 0) {
      server.counts[static_cast<ServerOutcome>(outcome)] = count;
    }
  }
  outcomes.servers[row[0].asString()] = std::move(server);
}

}  // namespace

std::vector<Digest> SplitDigest(Digest digest, std::size_t max_members) {
  std::vector<DigestMember> members = std::move(digest.members);
  digest.members.clear();
  const Digest empty_part{.sender = digest.sender,
                          .configuration_version = digest.configuration_version,
                          .operator_position = digest.operator_position,
                          .operator_feed_age = digest.operator_feed_age,
                          .has_operator_state = digest.has_operator_state,
                          .serves_configuration = digest.serves_configuration,
                          .servers_from = digest.servers_to,
                          .servers_to = digest.servers_to,
                          .server_list_age = digest.server_list_age};
  std::vector<Digest> parts = {std::move(digest)};
  for (DigestMember& member : members) {
    if (parts.back().members.size() == max_members) {
      parts.push_back(empty_part);
    }
    parts.back().members.push_back(std::move(member));
  }
  return parts;
}

Json::Value EncodeHeartbeat(const Heartbeat& heartbeat) {
  Json::Value parameters;
  parameters["m"] = EncodeStatus(heartbeat.status);
  if (!heartbeat.aggregator.empty()) {
    parameters["a"] = heartbeat.aggregator;
  }
  return parameters;
}

std::optional<Heartbeat> DecodeHeartbeat(const Json::Value& parameters) {
  const Json::Value& row = parameters["m"];
  if (!row.isArray() || row.size() < kAge) {
    return std::nullopt;
  }
  return Heartbeat{DecodeStatus(row), parameters["a"].asString()};
}

Json::Value EncodeDigest(const Digest& digest, TimePoint now) {
  Json::Value parameters;
  parameters["f"] = digest.sender;
  parameters["v"] = Json::UInt64(digest.configuration_version);
  parameters["p"] = Json::UInt64(digest.operator_position.offset);
  parameters["a"] = Json::UInt64(digest.servers_from.offset);
  parameters["z"] = Json::UInt64(digest.servers_to.offset);
  EncodeEras(digest, parameters);
  if (digest.operator_feed_age) {
    parameters["q"] = Json::Int64(ToMilliseconds(*digest.operator_feed_age));
  }
  if (digest.has_operator_state) {
    parameters["h"] = true;
  }
  if (digest.serves_configuration) {
    parameters["c"] = true;
  }
  if (digest.has_full_server_list) {
    parameters["l"] = true;
  }
  if (digest.server_list_age) {
    parameters["g"] = Json::Int64(ToMilliseconds(*digest.server_list_age));
  }
  for (const ServerChange& change : digest.server_changes) {
    parameters["s"].append(EncodeServerChange(change));
  }
  for (const DigestMember& member : digest.members) {
    Json::Value row = EncodeStatus(member.status);
    row.append(Json::Int64(ToMilliseconds(member.age)));
    parameters["m"].append(std::move(row));
  }
  for (const auto& [domain, view] : digest.domains) {
    Json::Value& row = parameters["d"][domain];
    row.append(Json::UInt64(view.fingerprint));
    row.append(Json::Int64(ToMilliseconds(view.age)));
  }
  for (const auto& [name, server] : digest.outcomes.servers) {
    parameters["o"].append(EncodeSummary(name, server, now));
  }
  for (const auto& [service, count] :
       digest.outcomes.failed_requests_by_service) {
    parameters["u"][service] = Json::Int64(count);
  }
  if (!digest.outcomes.version_outcomes.empty()) {
    parameters["w"] = EncodeVersionOutcomes(digest.outcomes.version_outcomes);
  }
  if (!digest.rollouts.empty()) {
    parameters["r"] = EncodeRolloutNews(digest.rollouts);
  }
  if (digest.retry_credit) {
    parameters["k"] = EncodeCreditNews(*digest.retry_credit);
  }
  return parameters;
}

std::optional<Digest> DecodeDigest(const Json::Value& parameters,
                                   TimePoint now) {
  if (!parameters["f"].isString()) {
    return std::nullopt;
  }
  Digest digest{.sender = parameters["f"].asString(),
                .configuration_version = parameters["v"].asUInt64(),
                .operator_position = DecodePosition(parameters, "p"),
                .has_operator_state = parameters["h"].asBool(),
                .serves_configuration = parameters["c"].asBool(),
                .servers_from = DecodePosition(parameters, "a"),
                .servers_to = DecodePosition(parameters, "z"),
                .has_full_server_list = parameters["l"].asBool()};
  if (parameters["q"].isInt64()) {
    digest.operator_feed_age = milliseconds(parameters["q"].asInt64());
  }
  if (parameters["g"].isInt64()) {
    digest.server_list_age = milliseconds(parameters["g"].asInt64());
  }
  std::ranges::transform(parameters["s"],
                         std::back_inserter(digest.server_changes),
                         &DecodeServerChange);
  for (const Json::Value& row : parameters["m"]) {
    if (row.size() < kMemberFields) {
      return std::nullopt;
    }
    digest.members.push_back(
        {DecodeStatus(row), milliseconds(row[kAge].asInt64())});
  }
  for (const std::string& domain : parameters["d"].getMemberNames()) {
    const Json::Value& row = parameters["d"][domain];
    digest.domains[domain] = {.fingerprint = row[0].asUInt64(),
                              .age = milliseconds(row[1].asInt64())};
  }
  for (const Json::Value& row : parameters["o"]) {
    DecodeSummary(row, digest.outcomes, now);
  }
  for (const std::string& service : parameters["u"].getMemberNames()) {
    digest.outcomes.failed_requests_by_service[service] =
        static_cast<long>(parameters["u"][service].asInt64());
  }
  digest.outcomes.version_outcomes = DecodeVersionOutcomes(parameters["w"]);
  digest.rollouts = DecodeRolloutNews(parameters["r"]);
  digest.retry_credit = DecodeCreditNews(parameters["k"]);
  return digest;
}

Json::Value EncodeMemberListRequest(const MemberListRequest& request) {
  Json::Value parameters;
  parameters["f"] = request.sender;
  for (const std::string& domain : request.domains) {
    parameters["d"].append(domain);
  }
  return parameters;
}

std::optional<MemberListRequest> DecodeMemberListRequest(
    const Json::Value& parameters) {
  if (!parameters["f"].isString() || !parameters["d"].isArray()) {
    return std::nullopt;
  }
  MemberListRequest request{.sender = parameters["f"].asString()};
  std::ranges::transform(
      parameters["d"], std::back_inserter(request.domains),
      [](const Json::Value& domain) { return domain.asString(); });
  return request;
}

Json::Value EncodeServerListRequest(const ServerListRequest& request) {
  Json::Value parameters;
  parameters["f"] = request.sender;
  return parameters;
}

std::optional<ServerListRequest> DecodeServerListRequest(
    const Json::Value& parameters) {
  if (!parameters["f"].isString()) {
    return std::nullopt;
  }
  return ServerListRequest{parameters["f"].asString()};
}

Json::Value EncodeOutcome(const OutcomeReport& report) {
  Json::Value parameters;
  parameters["s"] = report.server;
  parameters["o"] = static_cast<int>(report.outcome);
  parameters["l"] = Json::Int64(report.load);
  if (report.observation) {
    parameters["v"] = EncodeObservation(*report.observation);
  }
  return parameters;
}

std::optional<OutcomeReport> DecodeOutcome(const Json::Value& parameters) {
  const int outcome = parameters["o"].asInt();
  if (!parameters["s"].isString() || outcome < 0 || outcome >= kOutcomeCount) {
    return std::nullopt;
  }
  return OutcomeReport{parameters["s"].asString(),
                       static_cast<ServerOutcome>(outcome),
                       static_cast<long>(parameters["l"].asInt64()),
                       DecodeObservation(parameters["v"])};
}

}  // namespace parsleyquay
