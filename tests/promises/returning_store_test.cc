// Tests a fleet of processes whose store goes away and returns with data some
// seconds older: at the start of an instance, a change of the configuration, a
// server that leaves, and the takeover of shards.

#include <algorithm>
#include <catch2/catch.hpp>

#include "support/configuration_text.h"
#include "support/gateway_processes.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

constexpr int kOthers = 3;    // gateways that run throughout
constexpr int kStarting = 3;  // the gateway that starts while the store is away

// "shop" has a rate limit, so that shards matter; "unlimited" has none, so that
// a test can send until a request is served.
std::string Configuration(int version,
                          const std::string& shop_keys,
                          const std::string& unlimited_keys) {
  return ConfigurationText(
      version, {{"shop", shop_keys, 300, 100}, {"unlimited", unlimited_keys}});
}

// Whether an owner of the shard has decided on the request "r-late", according
// to an instance's log.
bool IsJudgedByOwner(const std::string& log) {
  const std::size_t begin = log.find("event=request request=r-late");
  if (begin == std::string::npos) {
    return false;
  }
  const std::string line = log.substr(begin, log.find('\n', begin) - begin);
  return line.find("allowance=own_home") != std::string::npos ||
         line.find("allowance=peer_home") != std::string::npos;
}

struct ReturningStoreFleet : GatewayProcesses {
  ReturningStoreFleet() : GatewayProcesses(kOthers + 1) {
    REQUIRE(this->Start(Configuration(1, R"("shop-key")", R"("old-key")")));
    this->AddServer("s-leaves", Good());
    this->AddServer("s-stays", Good());
    for (int gateway = 0; gateway < kOthers; ++gateway) {
      REQUIRE(this->Await([&] {
        return this->Send(gateway, "GET", "/safe/1", "old-key").status == 200;
      }));
    }
    this->RunFor(seconds(6));  // until the shards have owners
  }

  // Sends requests to all gateways that run throughout. Returns how many of
  // them were not served.
  int CountFailures(Duration duration) {
    int failures = 0;
    const TimePoint end = this->loop.Now() + duration;
    for (int i = 0; this->loop.Now() < end; ++i) {
      failures +=
          this->Send(i % kOthers, "GET", "/safe/1").status == 200 ? 0 : 1;
      this->RunFor(milliseconds(20));
    }
    return failures;
  }

  // What operators and servers have written last, they write again.
  void WriteAgain() {
    this->Put("keyed.op", "config", Configuration(2, R"("shop-key")", ""));
    this->ListServer("s-leaves", "draining");
    this->ListServer("s-stays", "ready");
  }

  bool ServesOldKey(int gateway) {
    return this->Send(gateway, "GET", "/safe/1", "old-key").status != 401;
  }
};

// Guards against requests that fail or reach a server that has left, keys that
// work again, and instances that cannot join, after the store has lost writes.
TEST_CASE("a fleet goes on when the store returns with older data") {
  ReturningStoreFleet fleet;
  fleet.WriteAgain();
  fleet.RunFor(seconds(2));
  const std::size_t before = fleet.server("s-leaves").requests().size();
  fleet.process(kStarting).Kill();
  fleet.SetStoreFault("down=all");
  fleet.StartGateway(kStarting);
  fleet.RunFor(milliseconds(500));
  SECTION("some seconds older") {
    fleet.SetStoreFault("rewind_ms=4000");
  }
  SECTION("older than the fleet") {
    fleet.SetStoreFault("rewind_ms=60000");
  }
  fleet.SetStoreFault("up=all");
  CHECK(fleet.CountFailures(seconds(1)) == 0);
  fleet.WriteAgain();
  CHECK(fleet.CountFailures(seconds(3)) == 0);
  CHECK(fleet.server("s-leaves").requests().size() == before);
  for (int gateway = 0; gateway < kOthers; ++gateway) {
    CHECK_FALSE(fleet.ServesOldKey(gateway));
    CHECK(fleet.Log(gateway).find("event=store_era era=1") !=
          std::string::npos);
    CHECK(fleet.Log(gateway).find("event=secret_replaced") ==
          std::string::npos);
  }
  CHECK(fleet.Await([&] { return fleet.IsReady(kStarting); }));
  CHECK(fleet.Send(kStarting, "GET", "/safe/1").status == 200);
  // The starting instance has the secret of the others: they know each other.
  CHECK(fleet.Await([&] {
    const std::string answer = fleet.ResolveAddresses(kStarting);
    return std::ranges::count(answer, ':') == 2 + fleet.count();
  }));

  // Later changes take effect in time, and the shards have owners.
  fleet.Put("keyed.op", "config", Configuration(3, R"("new-key")", ""));
  fleet.RunFor(seconds(2));
  for (int gateway = 0; gateway < fleet.count(); ++gateway) {
    CHECK(fleet.Send(gateway, "GET", "/safe/1", "new-key", "r-late").status ==
          200);
    CHECK(fleet.Await([&] { return IsJudgedByOwner(fleet.Log(gateway)); }));
  }
}

}  // namespace
}  // namespace parsleyquay
