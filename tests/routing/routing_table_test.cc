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

// Returns the name of the matching route, or an empty string.
std::string FindRouteName(const RoutingTable& table,
                          const std::string& host,
                          const std::string& target) {
  const HostRoute* route = table.FindRoute(host, target);
  return route ? route->name : "";
}

TEST_CASE("the host's route with the longest matching prefix is found") {
  const RoutingTable table({.version = 1,
                            .routes = {MakeRoute("all", "a.example", "/"),
                                       MakeRoute("x", "a.example", "/x/"),
                                       MakeRoute("xy", "a.example", "/x/y/"),
                                       MakeRoute("b", "b.example", "/x/")}});
  CHECK(FindRouteName(table, "a.example", "/x/y/z") == "xy");
  CHECK(FindRouteName(table, "a.example", "/x/y/") == "xy");
  CHECK(FindRouteName(table, "a.example", "/x/y") == "x");
  CHECK(FindRouteName(table, "a.example", "/xy") == "all");
  CHECK(FindRouteName(table, "A.Example:8080", "/x/1?p=/x/y/") == "x");
  CHECK(FindRouteName(table, "b.example", "/x/y/z") == "b");
  CHECK(FindRouteName(table, "b.example", "/") == "");
  CHECK(FindRouteName(table, "c.example", "/x/") == "");
  CHECK(FindRouteName(table, "a.example", "") == "");
}

// Guards against requests without a key on paths that need one: the end of the
// Host header must not count as the beginning of the path.
TEST_CASE("a host that contains a slash has no routes") {
  const RoutingTable table({.version = 1,
                            .routes = {MakeRoute("x", "a.example", "/x/"),
                                       MakeRoute("root", "b.example", "/")}});
  for (const char* host :
       {"a.example/x", "a.example/x/", "a.example/", "a.example/x/:80"}) {
    CAPTURE(host);
    CHECK(FindRouteName(table, host, "/y/1") == "");
    CHECK(FindRouteName(table, host, "/") == "");
    CHECK(FindRouteName(table, host, "y") == "");
  }
  CHECK(FindRouteName(table, "b.example/x", "/y") == "");
  CHECK(FindRouteName(table, "", "b.example/") == "");
}

TEST_CASE("only an API key finds its workspace") {
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

TEST_CASE("requests are split between services by weight") {
  HostRoute route = MakeRoute("split", "a", "/");
  route.services = {{"big", 90}, {"small", 10}, {"none", 0}};
  std::mt19937_64 random(7);
  std::map<std::string, int> counts;
  for (int i = 0; i < 10'000; ++i) {
    ++counts[SampleService(route, random())];
  }
  CHECK(counts["none"] == 0);
  CHECK(counts["small"] > 850);
  CHECK(counts["small"] < 1'150);
}

}  // namespace
}  // namespace parsleyquay
