// What one instance does when the store returns with data some seconds older,
// with the real client of the store and a stand-in of the store.

#include <sodium.h>

#include <catch2/catch.hpp>
#include <memory>

#include "gateway/configuration_watcher.h"
#include "gateway/fleet_registration.h"
#include "gateway/server_discovery.h"
#include "gateway/workspace_rate_limiter.h"
#include "platform/platform_coordination_store.h"
#include "platform/platform_wire_protocol.h"
#include "support/store_stand_in.h"

namespace parsleyquay {
namespace {

// One instance's parts that hold what the store knows.
struct Instance {
  Instance(StoreStandIn& store, const std::string& name)
      : http(store.loop),
        context(
            store.loop,
            {.name = name,
             .failure_domain = "x",
             .peer_address = FreeAddress()},
            http,
            platform::MakePlatformCoordinationStore(
                std::make_shared<platform::StoreClient>(http, store.address),
                12),
            platform::MakePlatformWireProtocol()) {
    this->context.incarnation = "i-" + name;
  }

  // Makes the instance known to itself, as the dissemination agent does, so
  // that it may own shards.
  void Own() {
    UpdateMemberStatus(this->context.members,
                       {.record = MakeOwnMemberRecord(this->context),
                        .is_ready = true,
                        .owned_shards = this->limiter.OwnedShards()},
                       Duration(0), this->context.Now());
  }

  std::string Counter(const std::string& name) {
    return std::to_string(this->context.metrics.counters[name]);
  }

  HttpClient http;
  GatewayContext context;
  int opened = 0;  // the peer transport, with another secret each time
  std::set<std::string> withdrawn;
  FleetRegistration registration{
      context,
      {"heartbeat"},
      {.on_open = [this] { ++this->opened; },
       .on_message = [](const std::string&, const Json::Value&) {}}};
  ConfigurationWatcher watcher{context, [] {},
                               [this](const std::set<std::string>& domains) {
                                 this->withdrawn = domains;
                               }};
  ServerDiscovery discovery{context,
                            {.on_new_incarnation = [](const std::string&) {},
                             .on_news = [] {},
                             .on_gap = [](const std::string&) {},
                             .on_read = [](bool) {}}};
  WorkspaceRateLimiter limiter{context, [] {}};
  Timer own_timer{context.loop, [this] { this->Own(); }};
};

struct ReturningStore : StoreStandIn {
  ReturningStore() = default;
  // Ends the reads that wait: the server cannot stop before.
  ~ReturningStore() {
    this->Control("down=all");
    this->Control("rewind_ms=0");
  }
  ReturningStore(const ReturningStore&) = delete;
  ReturningStore& operator=(const ReturningStore&) = delete;

  // The store is away for `outage` and returns without what was written in the
  // last `lost` before.
  void Return(Duration lost, Duration outage) {
    this->Control("down=all");
    this->RunFor(outage);
    this->Control("rewind_ms=" + std::to_string(ToMilliseconds(lost + outage)));
    this->Control("up=all");
  }

  void List(const std::string& server, int sequence, bool is_draining = false) {
    this->Control("put=keyed.servers&key=" + server,
                  R"({"service":"work","address":"127.0.0.1:9","zone":"x",
            "version":"v1","slots":3,"state":")" +
                      std::string(is_draining ? "draining" : "ready") +
                      R"(","cold_remaining":"0ms","seq":)" +
                      std::to_string(sequence) + "}");
  }

  void Configure(int version) {
    this->Control(
        "put=keyed.op&key=config",
        R"({"version":)" + std::to_string(version) + R"(,"resources":[]})");
  }

  // Returns the records of the fleet in the store.
  FleetRecords Records() {
    std::optional<FleetRecords> records;
    this->reader.context.coordination.read_fleet_records(
        [&](std::optional<FleetRecords> read) { records = std::move(read); });
    REQUIRE(this->Await([&] { return records.has_value(); }));
    return *records;
  }

  int Calls(const std::string& path) {
    const auto found = this->model.calls().find(path);
    return found == this->model.calls().end() ? 0 : found->second;
  }

  Instance reader{*this, "reader"};
};

// Guards against a fleet that instances can no longer join: its secret and its
// records were lost, and nobody writes them again.
TEST_CASE("secret and records that the store has lost are written again") {
  REQUIRE(sodium_init() >= 0);
  ReturningStore store;
  Instance one(store, "g-1");
  Instance two(store, "g-2");
  for (Instance* instance : {&one, &two}) {
    instance->watcher.SetFrequentReads(true);
    instance->watcher.Start();
    instance->registration.Join();
  }
  REQUIRE(store.Await([&] { return store.Records().members.size() == 2; }));
  const FleetRecords before = store.Records();
  REQUIRE(before.secret);
  SECTION("by those that know them") {
    store.Return(seconds(5), milliseconds(300));
  }
  SECTION("although an instance that does not know them starts meanwhile") {
    Instance three(store, "g-3");
    store.Control("down=all");
    three.registration.Join();
    store.RunFor(milliseconds(300));
    store.Control("rewind_ms=60000");
    store.Control("up=all");
    REQUIRE(store.Await([&] { return three.opened == 1; }, seconds(6)));
    CHECK(store.Records().secret == before.secret);
  }
  CHECK(store.Await(
      [&] {
        const FleetRecords now = store.Records();
        return now.end.era == 1 && now.secret == before.secret &&
               now.members.size() >= 2;
      },
      seconds(4)));
  CHECK(one.opened == 1);
  CHECK(two.opened == 1);
  CHECK(one.Counter("store_records_restored") != "0");
}

// Guards against two secrets: in an era, the one that the store has is that of
// the fleet, also if an instance that did not know the former has written it.
TEST_CASE("instances adopt the secret that they find in a new era") {
  REQUIRE(sodium_init() >= 0);
  ReturningStore store;
  Instance one(store, "g-1");
  one.watcher.SetFrequentReads(true);
  one.watcher.Start();
  one.registration.Join();
  REQUIRE(store.Await([&] { return store.Records().members.size() == 1; }));
  store.Control("down=all");
  store.Control("rewind_ms=60000");
  store.Control("put=keyed.parsleyquay&key=secret", "another");
  store.Control("up=all");
  CHECK(store.Await([&] { return one.opened == 2; }));
  store.RunFor(milliseconds(500));
  CHECK(store.Records().secret == "another");
  CHECK(store.Records().members.size() == 1);
}

// Guards against calls that a store without eras would get in addition.
TEST_CASE("a new fleet creates its secret with one read and one write") {
  REQUIRE(sodium_init() >= 0);
  ReturningStore store;
  Instance one(store, "g-1");
  one.registration.Join();
  REQUIRE(store.Await([&] { return one.opened == 1; }));
  store.RunFor(milliseconds(1'500));
  CHECK(store.Calls("/api/log-newest") == 1);
  CHECK(store.Calls("/api/log-append") == 2);
}

// Guards against an instance whose configuration changes take effect only once
// the offsets have caught up, and against one that returns to an old version.
TEST_CASE(
    "configuration changes take effect in a new era, and none is undone") {
  ReturningStore store;
  store.Configure(1);
  store.RunFor(milliseconds(600));
  Instance one(store, "g-1");
  one.watcher.SetFrequentReads(true);
  one.watcher.Start();
  store.Configure(2);
  store.Control("put=keyed.op&key=evacuate/z", "{}");
  store.Configure(3);
  const auto version = [&] { return one.context.configuration_version(); };
  REQUIRE(store.Await([&] { return version() == 3; }));
  REQUIRE(one.withdrawn.contains("z"));
  SECTION("with offsets that are gone") {
    store.Return(milliseconds(400), milliseconds(100));
    store.RunFor(milliseconds(1'500));
    CHECK(version() == 3);
    CHECK(one.watcher.position().era == 1);
  }
  SECTION("with offsets that are reused before the next read") {
    store.Control("down=all");
    store.Control("rewind_ms=400");
    store.Configure(1);
    store.Configure(1);
    store.Configure(2);
    store.Control("up=all");
    store.RunFor(milliseconds(1'500));
    CHECK(version() == 3);
    CHECK(one.watcher.position() == FeedPosition{1, 4});
  }
  CHECK(one.withdrawn.contains("z"));
  store.Configure(4);
  CHECK(store.Await([&] { return version() == 4; }, seconds(2)));
}

// Guards against a peer that has not noticed the new era: what it tells of the
// old one must not delay changes.
TEST_CASE("positions of an earlier era that peers announce cause no reads") {
  ReturningStore store;
  store.Configure(1);
  Instance one(store, "g-1");
  one.watcher.SetFrequentReads(true);
  one.watcher.Start();
  REQUIRE(store.Await([&] { return one.context.routing != nullptr; }));
  store.Control("rewind_ms=0");
  REQUIRE(store.Await([&] { return one.watcher.position().era == 1; }));
  const int before = store.Calls("/api/log-read");
  one.watcher.OnPeerFeedPosition({0, 100});
  store.RunFor(milliseconds(500));
  CHECK(store.Calls("/api/log-read") - before <= 1);
  CHECK(one.watcher.newest_known_position() == FeedPosition{1, 1});
}

// Guards against requests without a server, or to one that has left, because
// the returned store lacks what was listed last.
TEST_CASE("servers that a new era lacks are kept for a moment") {
  ReturningStore store;
  store.List("s-old", 1);
  store.List("s-leaves", 1);
  store.RunFor(milliseconds(1'500));
  Instance one(store, "g-1");
  one.discovery.Start();
  one.discovery.SetSource(ServerListSource::kStore);
  const auto servers = [&] { return one.discovery.roster().servers; };
  REQUIRE(store.Await([&] { return servers().size() == 2; }));
  store.List("s-alive", 7);
  store.List("s-gone", 3);
  store.List("s-leaves", 2, true);
  REQUIRE(store.Await([&] {
    return servers().size() == 4 &&
           servers().at("s-leaves").listing.is_draining;
  }));
  store.Return(milliseconds(1'200), milliseconds(100));
  REQUIRE(store.Await([&] { return one.discovery.position().era == 1; }));
  CHECK(servers().contains("s-alive"));
  CHECK(servers().contains("s-gone"));
  CHECK(servers().at("s-leaves").listing.is_draining);
  store.List("s-alive", 8);
  store.RunFor(milliseconds(3'200));
  CHECK(servers().contains("s-old"));
  CHECK(servers().contains("s-alive"));
  CHECK_FALSE(servers().contains("s-gone"));
  CHECK(servers().at("s-leaves").listing.is_draining);
}

// Guards against two owners of a shard: a generation that is issued again in a
// new era is no confirmation of the shards assigned before.
TEST_CASE("an owner gives up its shards until a new era confirms them") {
  ReturningStore store;
  Instance one(store, "g-1");
  one.Own();
  one.own_timer.StartRepeating(milliseconds(200));
  one.limiter.Start();
  REQUIRE(store.Await([&] { return one.limiter.OwnedShards().size() == 12; },
                      seconds(8)));
  SECTION("while the store is away") {
    store.Control("down=all");
    one.context.coordination.era->Raise(1);
    one.context.coordination.era->NotifyWatchers();
    CHECK(one.limiter.OwnedShards().empty());
    store.Control("rewind_ms=60000");
    store.Control("up=all");
  }
  SECTION("a response of the earlier era in between") {
    one.context.coordination.era->Raise(1);
    one.context.coordination.era->NotifyWatchers();
    store.RunFor(milliseconds(900));
    CHECK(one.limiter.OwnedShards().empty());
    store.Control("rewind_ms=60000");
  }
  CHECK(store.Await([&] { return one.limiter.OwnedShards().size() == 12; },
                    seconds(2)));
}

}  // namespace
}  // namespace parsleyquay
