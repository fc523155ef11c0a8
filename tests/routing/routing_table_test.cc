#include "routing/routing_table.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "base/random_id.h"

namespace parsleyquay {
namespace {

HostRoute MakeRoute(const std::string& name,
                    const std::string& host,
                    const std::string& prefix) {
  return {.name = name,
          .host = host,
          .path_prefix = prefix,
          .services = {{"service", 1}}};
}

std::string FoundName(const RoutingTable& table,
                      const std::string& host,
                      const std::string& target) {
  const HostRoute* route = table.FindRoute(host, target);
  return route ? route->name : "";
}

TEST_CASE("the longest prefix of the host's routes is selected") {
  const RoutingTable table({.version = 1,
                            .routes = {MakeRoute("all", "a.example", "/"),
                                       MakeRoute("x", "a.example", "/x/"),
                                       MakeRoute("xy", "a.example", "/x/y/"),
                                       MakeRoute("b", "b.example", "/x/")}});
  CHECK(FoundName(table, "a.example", "/x/y/z") == "xy");
  CHECK(FoundName(table, "a.example", "/x/y/") == "xy");
  CHECK(FoundName(table, "a.example", "/x/y") == "x");
  CHECK(FoundName(table, "a.example", "/xy") == "all");
  CHECK(FoundName(table, "A.Example:8080", "/x/1?p=/x/y/") == "x");
  CHECK(FoundName(table, "b.example", "/x/y/z") == "b");
  CHECK(FoundName(table, "b.example", "/") == "");
  CHECK(FoundName(table, "c.example", "/x/") == "");
  CHECK(FoundName(table, "a.example", "") == "");
}

TEST_CASE("a key leads to its workspace and no other text does") {
  FleetConfiguration configuration;
  configuration.workspaces["one"].key_digests = {SecretDigest("k1"),
                                                 SecretDigest("k2")};
  configuration.workspaces["two"].key_digests = {SecretDigest("k3")};
  const RoutingTable table(configuration);
  CHECK(*table.FindWorkspaceByKey("k2") == "one");
  CHECK(*table.FindWorkspaceByKey("k3") == "two");
  CHECK(table.FindWorkspaceByKey("") == nullptr);
  CHECK(table.FindWorkspaceByKey("K1") == nullptr);
}

TEST_CASE("a split follows its weights") {
  HostRoute route = MakeRoute("split", "a", "/");
  route.services = {{"big", 90}, {"small", 10}, {"none", 0}};
  std::mt19937_64 random(7);
  std::map<std::string, int> drawn;
  for (int i = 0; i < 10'000; ++i) {
    ++drawn[SampleService(route, random())];
  }
  CHECK(drawn["none"] == 0);
  CHECK(drawn["small"] > 850);
  CHECK(drawn["small"] < 1'150);
}

}  // namespace
}  // namespace parsleyquay
