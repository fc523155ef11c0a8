#include "entry/system_endpoints.h"

#include <algorithm>

#include "base/random_id.h"
#include "entry/caller_identity.h"
#include "entry/error_response.h"
#include "fleet/record_codec.h"
#include "fleet/snapshot.h"
#include "http/request_target.h"
#include "limits/token_bucket_shard.h"

namespace parsleyquay {

namespace {

constexpr std::string_view kPrefix = "/.parsleyquay/";
constexpr long kOverloadPermille = 900;

void RespondJson(ServerExchange& exchange,
                 int status,
                 const Json::Value& json) {
  exchange.Respond(status, {{"Content-Type", "application/json"}},
                   ToCompactText(json) + "\n");
}

void RespondError(ServerExchange& exchange,
                  int status,
                  const std::string& reason) {
  exchange.Respond(
      status, {{"Content-Type", "application/json"}},
      RenderErrorBody({status, RequestOutcome::kNotExecuted, reason, false}));
}

Json::Value OutcomeJson(const ClaimResult& result) {
  Json::Value json;
  if (result.decision != ClaimDecision::kTaken) {
    json["state"] = "not_known";
    return json;
  }
  const Claim& claim = result.existing;
  json["state"] = claim.state == ClaimState::kDone      ? "done"
                  : claim.state == ClaimState::kRunning ? "running"
                                                        : "unknown";
  json["request_id"] = claim.request_id;
  if (claim.state == ClaimState::kDone) {
    json["status"] = claim.response.status;
  }
  return json;
}

}  // namespace

SystemEndpoints::SystemEndpoints(EntryContext& context,
                                 FleetLogReplica& log,
                                 ClaimCoordinator& claims,
                                 const ServerPool& pool)
    : context(context), log(log), claims(claims), pool(pool) {}

bool SystemEndpoints::IsSystemTarget(const std::string& target) {
  return target.starts_with(kPrefix);
}

void SystemEndpoints::Serve(const std::shared_ptr<ServerExchange>& exchange) {
  const std::string path =
      PathFromTarget(exchange->target()).substr(kPrefix.size());
  if (path == "resolve") {
    this->ServeResolve(*exchange);
  } else if (path == "outcome") {
    this->ServeOutcome(exchange);
  } else if (path == "status") {
    this->ServeStatus(*exchange);
  } else if (path == "metrics") {
    this->ServeMetrics(*exchange);
  } else if (path == "burn") {
    RespondJson(*exchange, 200,
                ToJson(this->context.burn_counters, this->context.Now()));
  } else if (path.starts_with("peer/")) {
    this->ServePeer(*exchange, path);
  } else {
    RespondError(*exchange, 404, "no_such_path");
  }
}

AddressList SystemEndpoints::Resolve(const std::string& workspace) {
  const MembershipState& membership = this->context.membership;
  std::vector<SteeringCandidate> candidates;
  // A partitioned instance suspects all others, so its suspicions are ignored
  // while it holds no view lease.
  const bool are_suspicions_valid = this->context.has_view_lease();
  for (const auto& [name, member] : this->context.fleet.view.members) {
    const bool is_excluded =
        membership.leaving.contains(name) ||
        (are_suspicions_valid && membership.suspects.contains(name)) ||
        (this->context.is_self(name) && this->context.is_leaving) ||
        this->context.fleet.withdrawn_domains.contains(member.failure_domain);
    const auto last_reply = membership.last_replies.find(name);
    const bool is_overloaded =
        last_reply != membership.last_replies.end() &&
        last_reply->second.load_permille > kOverloadPermille;
    candidates.push_back({name, member.http_address, member.failure_domain,
                          is_excluded, is_overloaded});
  }
  const auto& workspaces = this->context.fleet.declaration.workspaces;
  const auto declared = workspaces.find(workspace);
  const std::size_t shards = declared == workspaces.end()
                                 ? 1
                                 : SplitIntoShards(declared->second).size();
  return ChooseAddresses(workspace, shards, candidates, this->context.random());
}

std::vector<std::string> SystemEndpoints::AlternativeAddresses(
    const std::string& workspace) {
  std::vector<std::string> addresses = this->Resolve(workspace).addresses;
  std::erase(addresses, this->context.settings.advertised_http_address);
  return addresses;
}

void SystemEndpoints::ServeResolve(ServerExchange& exchange) {
  const std::optional<CallerIdentity> caller =
      AuthenticateCaller(this->context.fleet, exchange.headers());
  const bool has_key = FindHeader(exchange.headers(), "Authorization");
  if (!caller && has_key) {
    RespondError(exchange, 401, "key_not_accepted");
    return;
  }
  if (!this->context.has_view_lease()) {
    RespondError(exchange, 503, "instance_not_current");
    return;
  }
  RespondJson(exchange, 200,
              ToJson(this->Resolve(caller ? caller->workspace : "(open)")));
}

void SystemEndpoints::ServeOutcome(
    const std::shared_ptr<ServerExchange>& exchange) {
  const std::optional<CallerIdentity> caller =
      AuthenticateCaller(this->context.fleet, exchange->headers());
  if (!caller || !this->context.has_view_lease()) {
    RespondError(*exchange, caller ? 503 : 401,
                 caller ? "instance_not_current" : "key_not_accepted");
    return;
  }
  const std::string request = QueryValue(exchange->target(), "request");
  const std::string name =
      request.empty()
          ? HeaderValueOrEmpty(exchange->headers(), "Idempotency-Key")
          : request;
  if (name.empty()) {
    RespondError(*exchange, 400, "expected_idempotency_key_or_request");
    return;
  }
  this->claims.LookUp(MakeClaimDigest(caller->workspace, name),
                      [exchange](const ClaimResult& result) {
                        if (!exchange->is_closed()) {
                          RespondJson(*exchange, 200, OutcomeJson(result));
                        }
                      });
}

void SystemEndpoints::ServeStatus(ServerExchange& exchange) {
  const MembershipState& membership = this->context.membership;
  const TimePoint now = this->context.Now();
  Json::Value json;
  json["name"] = this->context.settings.name;
  json["incarnation"] = this->context.incarnation;
  json["failure_domain"] = this->context.settings.failure_domain;
  json["offset"] = Json::UInt64(this->context.fleet.next_offset);
  json["view"] = Json::UInt64(membership.view_version);
  json["members"] = Json::UInt64(membership.names.size());
  json["is_member"] = membership.is_member;
  json["is_current"] = this->context.has_view_lease();
  json["is_leaving"] = this->context.is_leaving;
  json["is_behind_log_gap"] = membership.is_blocked_by_gap;
  json["lost_first"] = Json::UInt64(this->context.fleet.lost_range.first);
  json["lost_end"] = Json::UInt64(this->context.fleet.lost_range.end);
  json["is_log_away"] = IsLogUnavailable(membership, now);
  json["suspects"] = Json::UInt64(membership.suspects.size());
  json["are_earlier_rights_lapsed"] = HaveEarlierLeasesExpired(
      this->context.takeover, this->context.fleet.view.version, now);
  json["servers_out"] = Json::Int64(this->pool.CountRestrictedServers());
  json["active_requests"] = Json::UInt64(this->context.active_requests);
  json["withdrawn_domains"] = Json::arrayValue;
  for (const std::string& domain : this->context.fleet.withdrawn_domains) {
    json["withdrawn_domains"].append(domain);
  }
  json["workspaces"] =
      Json::UInt64(this->context.fleet.declaration.workspaces.size());
  json["routes"] = Json::UInt64(this->context.fleet.declaration.routes.size());
  RespondJson(exchange, 200, json);
}

void SystemEndpoints::ServeMetrics(ServerExchange& exchange) {
  std::vector<NamedCounter> counters = ListCounters(this->context.counters);
  const PeerTrafficCounters& traffic = this->context.peer_transport->traffic();
  counters.push_back({"peer_sent_messages", traffic.sent_messages});
  counters.push_back({"peer_sent_bytes", traffic.sent_bytes});
  counters.push_back({"peer_received_messages", traffic.received_messages});
  counters.push_back({"peer_received_bytes", traffic.received_bytes});
  counters.push_back({"peer_rejected_messages", traffic.rejected_messages});
  exchange.Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                   RenderPrometheusCounters(counters));
}

void SystemEndpoints::ServePeer(ServerExchange& exchange,
                                const std::string& path) {
  const std::string token =
      HeaderValueOrEmpty(exchange.headers(), kFleetTokenHeader);
  const bool is_instance = IsEqualInConstantTime(
      token, MakeFleetToken(this->context.settings.fleet_key));
  if (!is_instance) {
    RespondError(exchange, 403, "fleet_key_not_accepted");
    return;
  }
  if (path == "peer/state") {
    exchange.Respond(200, {{"Content-Type", "application/json"}},
                     EncodeState(this->context.fleet));
    return;
  }
  const std::optional<LogPage> page =
      this->log.PageFrom(ParseQueryNumber(exchange.target(), "from"));
  if (path != "peer/log" || !page) {
    RespondError(exchange, 410, "not_kept");
    return;
  }
  exchange.Respond(200, {{"Content-Type", "application/json"}},
                   EncodeLogPage(*page));
}

}  // namespace parsleyquay
