#include "dissemination/operator_change_codec.h"

#include <memory>
#include <utility>

namespace parsleyquay {

namespace {

// The kinds of changes, the first element of each encoded change.
constexpr char kConfiguration[] = "c";
constexpr char kWithdrawal[] = "d";
constexpr char kRolloutRequest[] = "r";

// Indices of the fields in the encoded arrays.
enum ChangeField { kKind, kSubject, kContent, kChangeFields };
enum RouteField {
  kRouteName,
  kHost,
  kPathPrefix,
  kServices,
  kIsIdempotent,
  kIsBulk,
  kIsPublic,
  kTimeout,
  kLatencyTarget,
  kPriority,
  kMaxServers,
  kRouteFields
};
enum ServiceField {
  kMaxConnections,
  kColdStart,
  kColdRequests,
  kServiceFields
};
enum WorkspaceField {
  kKeyDigests,
  kWorkspacePriority,
  kRequests,
  kBurst,
  kWorkspaceFields
};
enum LimitField {
  kMaxHeaderBytes,
  kMaxBodyBytes,
  kHeaderTimeout,
  kIdleTimeout,
  kLimitFields
};
enum RequestField { kService, kToVersion, kRequestDuration, kRequestFields };

// Thrown and caught in this file only.
struct MalformedChange {};

Json::Value EncodeDuration(Duration duration) {
  return Json::Int64(duration.count());
}

Duration DecodeDuration(const Json::Value& value) {
  return Duration(value.asInt64());
}

void CheckRow(const Json::Value& row, Json::ArrayIndex fields) {
  if (!row.isArray() || row.size() != fields) {
    throw MalformedChange();
  }
}

Json::Value EncodeRoute(const HostRoute& route) {
  Json::Value row(Json::arrayValue);
  row.append(route.name);
  row.append(route.host);
  row.append(route.path_prefix);
  Json::Value services(Json::arrayValue);
  for (const WeightedService& service : route.services) {
    Json::Value pair(Json::arrayValue);
    pair.append(service.service);
    pair.append(service.weight);
    services.append(std::move(pair));
  }
  row.append(std::move(services));
  row.append(route.is_idempotent);
  row.append(route.is_bulk);
  row.append(route.is_public);
  row.append(EncodeDuration(route.timeout));
  row.append(EncodeDuration(route.latency_target));
  row.append(route.priority);
  row.append(Json::Int64(route.max_servers));
  return row;
}

HostRoute DecodeRoute(const Json::Value& row) {
  CheckRow(row, kRouteFields);
  HostRoute route{.name = row[kRouteName].asString(),
                  .host = row[kHost].asString(),
                  .path_prefix = row[kPathPrefix].asString(),
                  .is_idempotent = row[kIsIdempotent].asBool(),
                  .is_bulk = row[kIsBulk].asBool(),
                  .is_public = row[kIsPublic].asBool(),
                  .timeout = DecodeDuration(row[kTimeout]),
                  .latency_target = DecodeDuration(row[kLatencyTarget]),
                  .priority = row[kPriority].asInt(),
                  .max_servers = static_cast<long>(row[kMaxServers].asInt64())};
  for (const Json::Value& pair : row[kServices]) {
    CheckRow(pair, 2);
    route.services.push_back({pair[0].asString(), pair[1].asDouble()});
  }
  return route;
}

Json::Value EncodeWorkspace(const WorkspaceConfiguration& workspace) {
  Json::Value digests(Json::arrayValue);
  for (const std::string& digest : workspace.key_digests) {
    digests.append(digest);
  }
  Json::Value row(Json::arrayValue);
  row.append(std::move(digests));
  row.append(workspace.priority ? Json::Value(*workspace.priority)
                                : Json::Value());
  row.append(workspace.requests_per_second);
  row.append(workspace.burst);
  return row;
}

WorkspaceConfiguration DecodeWorkspace(const Json::Value& row) {
  CheckRow(row, kWorkspaceFields);
  WorkspaceConfiguration workspace{
      .requests_per_second = row[kRequests].asDouble(),
      .burst = row[kBurst].asDouble()};
  if (!row[kWorkspacePriority].isNull()) {
    workspace.priority = row[kWorkspacePriority].asInt();
  }
  for (const Json::Value& digest : row[kKeyDigests]) {
    workspace.key_digests.push_back(digest.asString());
  }
  return workspace;
}

Json::Value EncodeConfiguration(const FleetConfiguration& configuration) {
  Json::Value value(Json::objectValue);
  value["v"] = Json::UInt64(configuration.version);
  value["r"] = Json::arrayValue;
  for (const HostRoute& route : configuration.routes) {
    value["r"].append(EncodeRoute(route));
  }
  for (const auto& [name, service] : configuration.services) {
    Json::Value& row = value["s"][name];
    row.append(Json::Int64(service.max_connections));
    row.append(EncodeDuration(service.cold_start));
    row.append(service.cold_requests_per_second);
  }
  for (const auto& [name, workspace] : configuration.workspaces) {
    value["w"][name] = EncodeWorkspace(workspace);
  }
  const CallerLimits& limits = configuration.limits;
  value["l"].append(Json::UInt64(limits.max_header_bytes));
  value["l"].append(Json::UInt64(limits.max_body_bytes));
  value["l"].append(EncodeDuration(limits.header_timeout));
  value["l"].append(EncodeDuration(limits.idle_timeout));
  return value;
}

FleetConfiguration DecodeConfiguration(const Json::Value& value) {
  if (!value.isObject() || !value["v"].isUInt64()) {
    throw MalformedChange();
  }
  FleetConfiguration configuration{.version = value["v"].asUInt64()};
  for (const Json::Value& row : value["r"]) {
    configuration.routes.push_back(DecodeRoute(row));
  }
  for (const std::string& name : value["s"].getMemberNames()) {
    const Json::Value& row = value["s"][name];
    CheckRow(row, kServiceFields);
    configuration.services[name] = {
        .max_connections = static_cast<long>(row[kMaxConnections].asInt64()),
        .cold_start = DecodeDuration(row[kColdStart]),
        .cold_requests_per_second = row[kColdRequests].asDouble()};
  }
  for (const std::string& name : value["w"].getMemberNames()) {
    configuration.workspaces[name] = DecodeWorkspace(value["w"][name]);
  }
  const Json::Value& limits = value["l"];
  CheckRow(limits, kLimitFields);
  configuration.limits = {
      .max_header_bytes =
          static_cast<std::size_t>(limits[kMaxHeaderBytes].asUInt64()),
      .max_body_bytes =
          static_cast<std::size_t>(limits[kMaxBodyBytes].asUInt64()),
      .header_timeout = DecodeDuration(limits[kHeaderTimeout]),
      .idle_timeout = DecodeDuration(limits[kIdleTimeout])};
  return configuration;
}

Json::Value MakeRow(const char* kind, Json::Value subject, Json::Value value) {
  Json::Value row(Json::arrayValue);
  row.append(kind);
  row.append(std::move(subject));
  row.append(std::move(value));
  return row;
}

Json::Value EncodeChange(const OperatorChange& change) {
  if (const auto* configuration = std::get_if<FleetConfiguration>(&change)) {
    return MakeRow(kConfiguration, "", EncodeConfiguration(*configuration));
  }
  if (const auto* withdrawal = std::get_if<DomainWithdrawal>(&change)) {
    return MakeRow(kWithdrawal, withdrawal->failure_domain,
                   withdrawal->is_withdrawn);
  }
  const auto& rollout = std::get<RolloutRequestChange>(change);
  Json::Value request;
  if (rollout.request) {
    request.append(rollout.request->service);
    request.append(rollout.request->to_version);
    request.append(EncodeDuration(rollout.request->duration));
  }
  return MakeRow(kRolloutRequest, rollout.service, std::move(request));
}

OperatorChange DecodeChange(const Json::Value& row) {
  CheckRow(row, kChangeFields);
  const std::string kind = row[kKind].asString();
  const Json::Value& content = row[kContent];
  if (kind == kConfiguration) {
    return DecodeConfiguration(content);
  }
  if (kind == kWithdrawal) {
    return DomainWithdrawal{row[kSubject].asString(), content.asBool()};
  }
  if (kind != kRolloutRequest) {
    throw MalformedChange();
  }
  RolloutRequestChange change{row[kSubject].asString(), std::nullopt};
  if (!content.isNull()) {
    CheckRow(content, kRequestFields);
    change.request =
        RolloutRequest{.service = content[kService].asString(),
                       .to_version = content[kToVersion].asString(),
                       .duration = DecodeDuration(content[kRequestDuration])};
  }
  return change;
}

}  // namespace

std::string EncodeOperatorChanges(const std::vector<OperatorChange>& changes) {
  Json::Value rows(Json::arrayValue);
  for (const OperatorChange& change : changes) {
    rows.append(EncodeChange(change));
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  // Otherwise bytes that are not valid UTF-8 would be replaced.
  builder["emitUTF8"] = true;
  return Json::writeString(builder, rows);
}

std::optional<std::vector<OperatorChange>> DecodeOperatorChanges(
    const std::string& text) {
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value rows;
  std::vector<OperatorChange> changes;
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &rows,
                       nullptr) ||
        !rows.isArray()) {
      return std::nullopt;
    }
    for (const Json::Value& row : rows) {
      changes.push_back(DecodeChange(row));
    }
  } catch (const Json::Exception&) {
    // NOTE: jsoncpp throws when a field has an unexpected type.
    return std::nullopt;
  } catch (const MalformedChange&) {
    return std::nullopt;
  }
  return changes;
}

}  // namespace parsleyquay
