#include <catch2/catch.hpp>

#include "base/random_id.h"
#include "platform/configuration_decoder.h"
#include "platform/json_fields.h"
#include "platform/platform_wire_protocol.h"
#include "platform/record_frames.h"
#include "platform/rollout_decoder.h"
#include "platform/server_decoder.h"

namespace parsleyquay::platform {
namespace {

constexpr char kConfiguration[] = R"({"version":7,"resources":[
 {"resource_kind":"routes","metadata":{"name":"r1"},"spec":{
   "host":"a.example","path_prefix":"/x/","kind":"safe","timeout":"1500ms",
   "slo_latency":"0.8s","priority":2,"max_attempts":2,"public":true,
   "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}},
 {"resource_kind":"routes","metadata":{"name":"r2"},"spec":{
   "host":"a.example","path_prefix":"/y/","kind":"download","service":"s1"}},
 {"resource_kind":"routes","metadata":{"name":"r3"},"spec":{
   "host":"a.example","path_prefix":"/z/","kind":"novel","service":"s1"}},
 {"resource_kind":"routes","metadata":{"name":"r4"},"spec":{
   "host":"a.example","path_prefix":"/u/","kind":"upload","service":"s1"}},
 {"resource_kind":"services","metadata":{"name":"s1"},"spec":{
   "health_path":"/health","max_conns":330,"cold_start":"3s","cold_per_s":7.3}},
 {"resource_kind":"tenants","metadata":{"name":"w1"},"spec":{
   "api_keys":["k1","k2"],"priority":1,"rate_per_s":33,"burst":34}},
 {"resource_kind":"tenants","metadata":{"name":"w2"},"spec":{"api_keys":["k3"]}},
 {"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":1000,
   "max_body_bytes":2000,"header_timeout":"3000ms","idle_timeout":"15s"}},
 {"resource_kind":"novelties","metadata":{},"spec":{}}]})";

template <typename T>
bool IsOk(const std::function<Result<T>()>& action) {
  return RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_CHECK(action());
        return {};
      },
      [](const Error& error) { CHECK_FALSE(error.detail.empty()); });
}

bool IsServer(const std::string& text) {
  return IsOk<ServerListing>([&] { return DecodeServerListing(text); });
}

bool IsConfiguration(const std::string& text) {
  return IsOk<FleetConfiguration>([&] { return DecodeConfiguration(text); });
}

TEST_CASE("a configuration is decoded completely") {
  const FleetConfiguration decoded =
      DecodeConfiguration(kConfiguration).value();
  CHECK(decoded.version == 7);
  REQUIRE(decoded.routes.size() == 4);
  const HostRoute& route = decoded.routes[0];
  CHECK(route.is_idempotent);
  CHECK(route.is_public);
  CHECK_FALSE(route.is_bulk);
  CHECK(route.timeout == milliseconds(1'500));
  CHECK(route.latency_target == milliseconds(800));
  CHECK(route.max_servers == 2);
  CHECK(route.services == std::vector<WeightedService>{{"s1", 90}, {"s2", 10}});
  CHECK(decoded.routes[1].is_bulk);
  CHECK(decoded.routes[1].is_idempotent);
  CHECK_FALSE(decoded.routes[2].is_idempotent);
  CHECK(decoded.routes[3].is_bulk);
  CHECK_FALSE(decoded.routes[3].is_idempotent);
  CHECK(decoded.services.at("s1").cold_requests_per_second == Approx(7.3));
  const WorkspaceConfiguration& workspace = decoded.workspaces.at("w1");
  CHECK(workspace.key_digests ==
        std::vector<std::string>{SecretDigest("k1"), SecretDigest("k2")});
  CHECK(workspace.burst == 34);
  CHECK(workspace.priority == 1);
  // Guards against a priority that takes precedence although none is stated.
  CHECK_FALSE(decoded.workspaces.at("w2").priority);
  CHECK(decoded.limits.max_body_bytes == 2'000);
  CHECK(decoded.limits.idle_timeout == seconds(15));
}

TEST_CASE("a malformed configuration is rejected") {
  for (const char* text :
       {"", "[]", "{", R"({"resources":[]})",
        R"({"version":"7","resources":[]})", R"({"version":7,"resources":{}})",
        R"({"version":7,"resources":[1]})",
        R"({"version":7,"resources":[{"resource_kind":"routes","spec":{}}]})",
        R"({"version":7,"resources":[{"resource_kind":"routes","metadata":{},
            "spec":{"host":"a","path_prefix":"/","kind":"safe"}}]})"}) {
    CHECK_FALSE(IsConfiguration(text));
  }
}

TEST_CASE("an evacuation withdraws a failure domain until it is removed") {
  CHECK(DecodeOperatorRecord({"evacuate/z1", "{}"}).value() ==
        OperatorChange(DomainWithdrawal{"z1", true}));
  CHECK(DecodeOperatorRecord({"evacuate/z1", std::nullopt}).value() ==
        OperatorChange(DomainWithdrawal{"z1", false}));
}

// Guards against a rollout that begins on a record which operators did not
// mean.
TEST_CASE("a rollout request is decoded and a malformed one is rejected") {
  const std::string good =
      R"({"service":"s1","to_version":"v2","duration":"12s"})";
  CHECK(DecodeOperatorRecord({"rollout/s1", good}).value() ==
        OperatorChange(RolloutRequestChange{
            "s1", RolloutRequest{"s1", "v2", seconds(12)}}));
  CHECK(DecodeOperatorRecord({"rollout/s1", std::nullopt}).value() ==
        OperatorChange(RolloutRequestChange{"s1", std::nullopt}));
  const auto is_request = [](const std::string& key, const std::string& text) {
    return IsOk<OperatorChange>([&] {
      return DecodeOperatorRecord({key, text});
    });
  };
  CHECK_FALSE(is_request("rollout/s2", good));
  CHECK_FALSE(is_request("rollout/", good));
  CHECK_FALSE(is_request("rollout/s1", "[]"));
  CHECK_FALSE(is_request("rollout/s1", R"({"service":"s1"})"));
  CHECK_FALSE(is_request(
      "rollout/s1", R"({"service":"s1","to_version":"v2","duration":"0s"})"));
  CHECK_FALSE(is_request(
      "rollout/s1", R"({"service":"s1","to_version":2,"duration":"12s"})"));
}

TEST_CASE("a rollout status is encoded with the platform's state") {
  const RolloutStatus status{.service = "s1",
                             .to_version = "v2",
                             .number = 2,
                             .step = 7,
                             .phase = RolloutPhase::kSwitching,
                             .share = 0.5,
                             .duration = seconds(12),
                             .elapsed = milliseconds(8'250),
                             .instances = 36,
                             .requests = 600,
                             .exposed = 55,
                             .old_versions = {"", "v1"},
                             .driver = "g-1",
                             .reason = "as good"};
  constexpr long kNow = 1'789'905'170'069;
  const std::string text = EncodeRolloutStatus(status, kNow);
  CHECK(GetStringField(*ParseJsonObject(text), "state") == "running");
  CHECK(DecodeRolloutStatus("s1", text, kNow).value() == status);
  // A wall clock that was set back or forward.
  CHECK(DecodeRolloutStatus("s1", text, 0).value() == status);
  CHECK(DecodeRolloutStatus("s1", text, 2 * kNow).value().elapsed ==
        milliseconds(20'250));
  RolloutStatus done = status;
  done.phase = RolloutPhase::kRolledBack;
  CHECK(GetStringField(*ParseJsonObject(EncodeRolloutStatus(done, kNow)),
                       "state") == "rolled_back");
  CHECK_FALSE(IsOk<RolloutStatus>([] {
    return DecodeRolloutStatus("s1", R"({"state":"running"})", kNow);
  }));
}

TEST_CASE("a server record is decoded and a malformed one is rejected") {
  const std::string good =
      R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1",
          "slots":3,"state":"ready","cold_remaining":"250ms","seq":4,
          "born":1789905170069})";
  const ServerListing listing = DecodeServerListing(good).value();
  CHECK(listing.failure_domain == "z");
  CHECK(listing.version == "v1");
  CHECK(listing.cold_remaining == milliseconds(250));
  CHECK(listing.incarnation == 1'789'905'170'069);
  const auto changed = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return text;
  };
  CHECK(IsServer(changed(R"("ready")", R"("draining")")));
  CHECK_FALSE(IsServer("\x01\x02 not JSON"));
  CHECK_FALSE(IsServer("null"));
  CHECK_FALSE(IsServer(changed(R"("ready")", R"("resting")")));
  CHECK_FALSE(IsServer(changed(R"("slots":3)", R"("slots":"3")")));
  CHECK_FALSE(IsServer(changed(R"("slots":3)", R"("slots":0)")));
  CHECK_FALSE(IsServer(changed(R"("slots":3,)", "")));
  CHECK_FALSE(IsServer(changed("10.0.0.9:8080", "somewhere")));
  CHECK_FALSE(IsServer(changed(R"("250ms")", "250")));
  CHECK_FALSE(IsServer(changed("1789905170069", "1.5")));
  CHECK_FALSE(IsServer(changed(R"("seq":4)", R"("seq":-4)")));
}

// Guards against a record by a foreign writer that is nested so deeply that the
// JSON parser throws. Uncaught, the exception ends every process that reads the
// server list.
TEST_CASE("a deeply nested record is rejected") {
  for (const std::size_t depth : {999, 1'000, 1'001, 100'000}) {
    const std::string open(depth, '[');
    const std::string close(depth, ']');
    CHECK_FALSE(ParseJsonObject("{\"a\":" + open));
    CHECK_FALSE(IsServer(open));
    CHECK_FALSE(IsServer(open + close));
    CHECK_FALSE(IsServer("{\"service\":" + open + close + "}"));
    CHECK_FALSE(
        IsConfiguration("{\"version\":1,\"resources\":" + open + close + "}"));
  }
}

TEST_CASE("a server record with numbers or ports out of range is rejected") {
  const auto entry = [](const std::string& address, const std::string& slots,
                        const std::string& cold, const std::string& sequence) {
    return R"({"service":"s1","address":")" + address +
           R"(","zone":"z","version":"v1","slots":)" + slots +
           R"(,"state":"ready","cold_remaining":")" + cold + R"(","seq":)" +
           sequence + "}";
  };
  REQUIRE(IsServer(entry("10.0.0.9:8080", "3", "0ms", "4")));
  for (const char* address :
       {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999999999999",
        "10.0.0.9:-1", "10.0.0.9:", "10.0.0.9", "10.0.0.900:80", ""}) {
    CHECK_FALSE(IsServer(entry(address, "3", "0ms", "4")));
  }
  for (const char* number :
       {"1e400", "-1", "18446744073709551615", "99999999999999999999999",
        "9223372036854775808", "1e18", "3.5"}) {
    CHECK_FALSE(IsServer(entry("10.0.0.9:8080", number, "0ms", "4")));
  }
  for (const char* cold : {"1e400ms", "1e18s", "-1ms", "nans", "infs"}) {
    CHECK_FALSE(IsServer(entry("10.0.0.9:8080", "3", cold, "4")));
  }
  for (const char* sequence : {"1e400", "-1", "99999999999999999999999"}) {
    CHECK_FALSE(IsServer(entry("10.0.0.9:8080", "3", "0ms", sequence)));
  }
}

TEST_CASE("a key that could inject a header is not a server id") {
  CHECK(IsValidServerId("i-7f3a91c2"));
  for (const char* key : {"", "i 1", "i\r\nTenant: other", "i\t", "\x80"}) {
    CHECK_FALSE(IsValidServerId(key));
  }
}

TEST_CASE("a field of another type in place of an object is rejected") {
  for (const char* text :
       {R"({"version":7,"resources":[{"resource_kind":"routes",
            "metadata":"m","spec":{"host":"a","path_prefix":"/",
            "kind":"safe","traffic_split":[1]}}]})",
        R"({"version":7,"resources":[{"resource_kind":"routes",
            "metadata":[],"spec":{"host":"a","path_prefix":"/",
            "kind":"safe","traffic_split":["s"]}}]})"}) {
    CHECK_FALSE(IsConfiguration(text));
  }
}

TEST_CASE("records are framed and a truncated page is rejected") {
  const std::string header =
      std::string(7, '\0') + '\x05' + std::string(7, '\0') + '\x02';
  const std::string frame = EncodeKeyedRecord({"key", "value"});
  const auto page = DecodeRecordPage(header + frame +
                                     EncodeKeyedRecord({"gone", std::nullopt}));
  REQUIRE(page);
  CHECK(page->end_offset == 5);
  CHECK(page->start_offset == 2);
  REQUIRE(page->records.size() == 2);
  CHECK(page->records[0] == KeyedRecord{"key", "value"});
  CHECK(page->records[1] == KeyedRecord{"gone", std::nullopt});
  CHECK_FALSE(DecodeRecordPage(header + frame.substr(0, frame.size() - 1)));
  CHECK_FALSE(DecodeRecordPage("short"));
}

TEST_CASE("a record without a valid key keeps its offset") {
  const std::string header(16, '\0');
  const std::string empty_record(4, '\0');
  const std::string key_too_long = std::string("\0\0\0\x02\x09", 5) + "x";
  const auto page = DecodeRecordPage(header + empty_record + key_too_long +
                                     EncodeKeyedRecord({"k", "v"}));
  REQUIRE(page);
  REQUIRE(page->records.size() == 3);
  CHECK_FALSE(page->records[0]);
  CHECK_FALSE(page->records[1]);
  CHECK(page->records[2]);
}

TEST_CASE("the wire protocol parses reported loads and address queries") {
  const WireProtocol protocol = MakePlatformWireProtocol();
  CHECK(protocol.parse_load("3,1,8") == ReportedLoad{3, 1, 8});
  CHECK_FALSE(protocol.parse_load("3,1"));
  CHECK_FALSE(protocol.parse_load("full"));
  CHECK(protocol.parse_address_query("/api/resolve?name=h&zone=z")
            ->failure_domain == "z");
  CHECK_FALSE(protocol.parse_address_query("/api/other"));
  CHECK(
      protocol.encode_address_response({{"1.2.3.4:5"}, milliseconds(2'500)}) ==
      R"({"addresses":["1.2.3.4:5"],"ttl":"2500ms"})");
}

}  // namespace
}  // namespace parsleyquay::platform
