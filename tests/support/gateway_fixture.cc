#include "support/gateway_fixture.h"

#include <sodium.h>

#include <catch2/catch.hpp>

#include "base/random_id.h"
#include "platform/platform_wire_protocol.h"
#include "support/await.h"

namespace parsleyquay {

namespace {

HostRoute MakeRoute(const std::string& name,
                    bool is_idempotent,
                    Duration timeout) {
  return {.name = name,
          .host = "a.example",
          .path_prefix = "/" + name + "/",
          .services = {{"work", 1}},
          .is_idempotent = is_idempotent,
          .timeout = timeout,
          .latency_target = milliseconds(600),
          .max_servers = 2};
}

}  // namespace

GatewayFixture::GatewayFixture(AdmissionLimits admission,
                               bool has_pooled_retries) {
  REQUIRE(sodium_init() >= 0);
  this->settings.name = "g-1";
  this->settings.failure_domain = "x";
  this->settings.request_address = FreeAddress();
  this->settings.readiness_address = FreeAddress();
  this->settings.directory_address = FreeAddress();
  this->settings.peer_address = FreeAddress();
  this->settings.metrics_address = FreeAddress();
  this->settings.admission = admission;
  this->settings.has_pooled_retries = has_pooled_retries;
  this->settings.store_address = "127.0.0.1:1";
  this->settings.bounds.termination_grace_period = seconds(2);
  RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(
            this->gateway,
            Gateway::Create(this->loop, this->gateway_client, this->settings,
                            this->MakeCoordinationStore(),
                            platform::MakePlatformWireProtocol()));
        return {};
      },
      [](const Error& error) { FAIL(ToString(error)); });
}

CoordinationStore GatewayFixture::MakeCoordinationStore() {
  CoordinationStore coordination;
  coordination.operators = this->operators.feed();
  coordination.servers = this->servers.feed();
  coordination.members = this->members.feed();
  coordination.shard_group.shard_count = 1;
  coordination.shard_group.renew =
      [](const std::string&, Duration, std::uint64_t,
         const std::function<void(std::optional<ShardAssignment>)>&
             on_assignment) {
        on_assignment(ShardAssignment{1, {0}});
      };
  coordination.shard_group.leave =
      [](const std::string&, const std::function<void()>& done) { done(); };
  coordination.publish_member =
      [](const MemberChange&,
         const std::function<void(PublishOutcome)>& on_outcome) {
        on_outcome(PublishOutcome::kDone);
      };
  coordination.read_fleet_records =
      [](const std::function<void(std::optional<FleetRecords>)>& on_records) {
        on_records(FleetRecords());
      };
  coordination.publish_secret =
      [this](const std::string& new_secret, const FeedPosition&,
             const std::function<void(PublishOutcome)>& on_outcome) {
        this->secret = new_secret;
        on_outcome(PublishOutcome::kDone);
      };
  return coordination;
}

void GatewayFixture::Configure(std::uint64_t version) {
  FleetConfiguration configuration{.version = version};
  configuration.routes = {MakeRoute("safe", true, this->route_timeout),
                          MakeRoute("once", false, this->route_timeout),
                          MakeRoute("bulk", true, this->route_timeout),
                          MakeRoute("open", true, this->route_timeout)};
  configuration.routes[2].is_bulk = true;
  configuration.routes[3].is_public = true;
  configuration.workspaces["shop"].key_digests = {SecretDigest("shop-key")};
  this->operators.Append(std::move(configuration));
}

ScriptedServer& GatewayFixture::AddServer(const std::string& id,
                                          ScriptedServer::Script script) {
  this->scripted.push_back(
      std::make_unique<ScriptedServer>(this->loop, std::move(script)));
  this->ListServer(id, this->scripted.back()->address());
  return *this->scripted.back();
}

void GatewayFixture::ListServer(const std::string& id,
                                const std::string& address,
                                bool is_draining) {
  this->servers.Append({id, ServerListing{.service = "work",
                                          .address = address,
                                          .failure_domain = "x",
                                          .slots = 3,
                                          .is_draining = is_draining,
                                          .incarnation = 1,
                                          .sequence = this->next_sequence++}});
}

BufferedResponse GatewayFixture::Send(const std::string& method,
                                      const std::string& target,
                                      HeaderList headers,
                                      const std::string& body) {
  CallRequest request;
  request.method = method;
  request.address = this->settings.request_address;
  request.target = target;
  request.headers = {{"Host", "a.example"},
                     {"Request-Id", "r-1"},
                     {"Request-Deadline", "1000"},
                     {"Authorization", "Bearer shop-key"}};
  for (Header& header : headers) {
    std::erase_if(request.headers, [&](const Header& default_header) {
      return IsSameHeaderName(default_header.name, header.name);
    });
    request.headers.push_back(std::move(header));
  }
  request.connection_use = ConnectionUse::kFresh;
  std::optional<BufferedResponse> response;
  this->caller.Fetch(request, body, [&](const BufferedResponse& result) {
    response = result;
  });
  REQUIRE(this->Await([&] { return response.has_value(); }));
  return *response;
}

BufferedResponse GatewayFixture::Get(const std::string& address,
                                     const std::string& target) {
  std::optional<BufferedResponse> response;
  this->caller.Fetch(
      {.address = address, .target = target}, "",
      [&](const BufferedResponse& result) { response = result; });
  REQUIRE(this->Await([&] { return response.has_value(); }));
  return *response;
}

bool GatewayFixture::Await(const std::function<bool()>& condition,
                           Duration timeout) {
  return RunLoopUntil(this->loop, condition, timeout);
}

void GatewayFixture::RunFor(Duration duration) {
  this->Await([] { return false; }, duration);
}

bool GatewayFixture::AwaitReady() {
  return this->Await([&] {
    return this->Get(this->settings.readiness_address, "/api/ready").status ==
           200;
  });
}

std::string MakeResponse(const RawRequest& request,
                         const std::string& status,
                         const std::string& more_headers,
                         const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nRequest-Id: " + RawHeader(request.head, "Request-Id") +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
         more_headers + "\r\n" + body;
}

std::string SignedOkResponse(const RawRequest& request,
                             const std::string& body) {
  return MakeResponse(request, "200 OK", "Response-Signature: sig\r\n", body);
}

}  // namespace parsleyquay
