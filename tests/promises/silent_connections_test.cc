// Tests the time in which changes take effect while connections of gateway
// processes to the store are silent.

#include <catch2/catch.hpp>
#include <string>

#include "support/configuration_text.h"
#include "support/gateway_processes.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

std::string Configuration(int version, const std::string& key) {
  return ConfigurationText(version, {{"shop", "\"" + key + "\"", 0, 0}});
}

// The connections never end, so that only timeouts of the instances show that
// they are dead. New connections work.
TEST_CASE("changes take effect in time although store connections are silent") {
  constexpr int kGateways = 3;
  constexpr Duration kInForce = seconds(2);
  GatewayProcesses fleet(kGateways, true);
  REQUIRE(fleet.Start(Configuration(1, "key-1")));
  ScriptedServer& stays = fleet.AddServer("s-stays", Good());
  int version = 1;
  std::uint64_t seed = 1;
  const auto send = [&](int gateway, const std::string& key) {
    return fleet.Send(gateway, "GET", "/safe/1", key).status;
  };
  for (const double share : {0.3, 0.6, 0.9, 1.0}) {
    const bool stalls_first = GENERATE(true, false);
    const std::string leaving = "s-" + std::to_string(version);
    ScriptedServer& leaves = fleet.AddServer(leaving, Good());
    REQUIRE(fleet.Await([&] {
      for (int i = 0; i < kGateways; ++i) {
        send(i, "key-" + std::to_string(version));
      }
      return !leaves.requests().empty();
    }));
    const auto stall = [&] {
      for (int i = 0; i < kGateways; ++i) {
        fleet.StallStoreConnections(i, share, seed++);
      }
    };
    const std::string old_key = "key-" + std::to_string(version);
    const std::string new_key = "key-" + std::to_string(++version);
    if (stalls_first) {
      stall();
      fleet.RunFor(milliseconds(700));
    }
    fleet.Put("keyed.op", "config", Configuration(version, new_key));
    fleet.ListServer(leaving, "draining");
    if (!stalls_first) {
      stall();
    }
    fleet.RunFor(kInForce);
    const std::size_t served_before = leaves.requests().size();
    INFO("share " << share << ", version " << version);
    for (int i = 0; i < kGateways; ++i) {
      CHECK(send(i, old_key) == 401);
      for (int k = 0; k < 5; ++k) {
        CHECK(send(i, new_key) == 200);
      }
    }
    CHECK(leaves.requests().size() == served_before);
  }
  CHECK_FALSE(stays.requests().empty());
}

}  // namespace
}  // namespace parsleyquay
