// Tests the guarantees about backend servers: the minimum number of servers in
// use, cold starts, servers that leave and failure domains that are withdrawn.

#include <algorithm>
#include <catch2/catch.hpp>

#include "experiment/load_generator.h"
#include "experiment/test_fleet.h"

namespace parsleyquay {
namespace {

constexpr Duration kLeaveLimit = seconds(4);

// An instance detects an unannounced restart only by the first response of the
// server after it.
constexpr int kDetectionDelayMs = 50;

FleetOptions FourInstances() {
  FleetOptions options;
  options.profile.instances = 4;
  options.profile.failure_domains = 2;
  options.profile.services = {{"main", 8}};
  options.profile.workspaces = {{"alpha", 400, 100}};
  return options;
}

LoadGenerator MakeLoad(TestFleet& fleet, double rate) {
  return LoadGenerator(
      fleet.http(), fleet.http_addresses(),
      {{"alpha", fleet.key("alpha"), "GET", "/work/main/s", rate}}, 1);
}

std::size_t CountEjected(TestFleet& fleet) {
  double ejections = 0;
  for (int i = 0; i < fleet.profile().instances; ++i) {
    ejections += fleet.Metrics(i)["parsleyquay_ejections_total"];
  }
  return static_cast<std::size_t>(ejections);
}

// Returns when the server last ran a request, in milliseconds after `since_ms`
// of the wall clock.
long LastRunAfter(TestFleet& fleet, int server, long since_ms) {
  const Json::Value stats = fleet.ServerStats();
  return stats[server]["last_run_ms"].asInt64() - since_ms;
}

TEST_CASE("a slow server is ejected, and used again once it has recovered") {
  TestFleet fleet(FourInstances());
  REQUIRE(fleet.Start());
  LoadGenerator before = MakeLoad(fleet, 150);
  before.Run(seconds(3));
  CHECK(CountEjected(fleet) == 0);
  fleet.SetServerFault("server=2&slow=20");
  LoadGenerator during = MakeLoad(fleet, 150);
  during.Run(seconds(3));
  CHECK(CountEjected(fleet) >= 1);
  fleet.SetServerFault("server=2&slow=1");
  const int runs_before = fleet.ServerStats()[2]["runs"].asInt();
  LoadGenerator after = MakeLoad(fleet, 150);
  after.Run(seconds(15));
  CHECK(fleet.ServerStats()[2]["runs"].asInt() > runs_before + 50);
  CHECK(CountOutcome(during.results(), LoadOutcome::kServed) ==
        during.results().size());
}

TEST_CASE("ejection keeps the minimum number of servers in use") {
  FleetOptions options = FourInstances();
  options.profile.floor_percent = 75;  // six of eight stay in use
  TestFleet fleet(options);
  REQUIRE(fleet.Start());
  LoadGenerator warm = MakeLoad(fleet, 150);
  warm.Run(seconds(2));
  // One more than may be ejected. If half of the servers failed, the detector
  // might attribute the fault to the whole service and eject none.
  for (const int server : {0, 1, 2}) {
    fleet.SetServerFault("server=" + std::to_string(server) +
                         "&fail_percent=60");
  }
  std::size_t max_ejected = 0;
  LoadGenerator load = MakeLoad(fleet, 150);
  load.Run(seconds(6), [&](Duration) {
    std::size_t ejected = 0;
    for (int i = 0; i < 4; ++i) {
      ejected = std::max<std::size_t>(
          ejected, fleet.Status(i)["servers_out"].asUInt64());
    }
    max_ejected = std::max(max_ejected, ejected);
  });
  CHECK(max_ejected >= 1);
  CHECK(max_ejected <= 2);
}

TEST_CASE("no server is ejected if all servers of the service are slow") {
  TestFleet fleet(FourInstances());
  REQUIRE(fleet.Start());
  LoadGenerator before = MakeLoad(fleet, 100);
  before.Run(seconds(2));
  fleet.SetServerFault("server=all&slow=8");
  LoadGenerator during = MakeLoad(fleet, 100);
  during.Run(seconds(5));
  CHECK(CountEjected(fleet) == 0);
}

TEST_CASE(
    "a server that restarts without notice is not overloaded while cold") {
  TestFleet fleet(FourInstances());
  REQUIRE(fleet.Start());
  bool is_restarted = false;
  LoadGenerator load = MakeLoad(fleet, 300);
  load.Run(seconds(9), [&](Duration elapsed) {
    if (elapsed >= seconds(3) && !is_restarted) {
      is_restarted = true;
      fleet.SetServerFault("server=1&restart=1");
    }
  });
  const Json::Value stats = fleet.ServerStats();
  CAPTURE(stats[1]["most_over_cold"].asInt());
  CHECK(stats[1]["last_over_cold_ms"].asInt() <= kDetectionDelayMs);
  CHECK(stats[1]["runs"].asInt() > 0);
  CHECK(CountOutcome(load.results(), LoadOutcome::kServed) ==
        load.results().size());
}

TEST_CASE("a leaving server receives no requests after 4 s") {
  TestFleet fleet(FourInstances());
  REQUIRE(fleet.Start());
  long left_ms = 0;
  LoadGenerator load = MakeLoad(fleet, 150);
  load.Run(seconds(9), [&](Duration elapsed) {
    if (elapsed >= seconds(2) && left_ms == 0) {
      fleet.PublishServers({{1, "leaving"}});
      fleet.SetServerFault("server=5&drain=1");
      left_ms = WallClockMilliseconds();
    }
  });
  const long limit_ms = ToMilliseconds(kLeaveLimit);
  CHECK(LastRunAfter(fleet, 1, left_ms) <= limit_ms);
  CHECK(LastRunAfter(fleet, 5, left_ms) <= limit_ms);
  CHECK(CountOutcome(load.results(), LoadOutcome::kServed) ==
        load.results().size());
}

TEST_CASE("a withdrawn failure domain receives no requests after 4 s") {
  TestFleet fleet(FourInstances());
  REQUIRE(fleet.Start());
  long withdrawn_ms = 0;
  LoadGenerator load = MakeLoad(fleet, 100);
  load.Run(seconds(10), [&](Duration elapsed) {
    if (elapsed >= seconds(2) && withdrawn_ms == 0) {
      REQUIRE(fleet.PublishBody(
          DomainChange{0, "domain-1", DomainAvailability::kWithdrawn}));
      withdrawn_ms = WallClockMilliseconds();
    }
  });
  const long limit_ms = ToMilliseconds(kLeaveLimit);
  for (int server = 1; server < 8; server += 2) {
    CHECK(LastRunAfter(fleet, server, withdrawn_ms) <= limit_ms);
  }
  CHECK(CountOutcome(load.results(), LoadOutcome::kServed) ==
        load.results().size());
  // The instances in the domain refuse requests too, before they run, and
  // return the addresses of other instances.
  const BufferedResponse refused =
      fleet.Send(1, "GET", "/work/main/r", "alpha");
  CHECK(refused.status == 503);
  CHECK(refused.body.find("failure_domain_withdrawn") != std::string::npos);
  CHECK(refused.body.find(fleet.http_address(0)) != std::string::npos);
  // Once restored, the domain serves again.
  REQUIRE(fleet.PublishBody(
      DomainChange{0, "domain-1", DomainAvailability::kInService}));
  const int runs_before = fleet.ServerStats()[1]["runs"].asInt();
  LoadGenerator after = MakeLoad(fleet, 100);
  after.Run(seconds(6));
  CHECK(fleet.ServerStats()[1]["runs"].asInt() > runs_before);
}

TEST_CASE("two withdrawn failure domains receive no requests after 4 s") {
  FleetOptions options = FourInstances();
  options.profile.failure_domains = 3;
  options.profile.services = {{"main", 9}};
  TestFleet fleet(options);
  REQUIRE(fleet.Start());
  std::optional<long> withdrawn_ms;
  LoadGenerator load = MakeLoad(fleet, 100);
  load.Run(seconds(10), [&](Duration elapsed) {
    if (elapsed >= seconds(2) && !withdrawn_ms) {
      for (const std::string domain : {"domain-0", "domain-2"}) {
        REQUIRE(fleet.PublishBody(
            DomainChange{0, domain, DomainAvailability::kWithdrawn}));
      }
      withdrawn_ms = WallClockMilliseconds();
    }
  });
  for (int server = 0; server < 9; ++server) {
    const bool is_withdrawn = server % 3 != 1;
    const long last_run_ms = LastRunAfter(fleet, server, *withdrawn_ms);
    CAPTURE(server, last_run_ms);
    CHECK((last_run_ms <= ToMilliseconds(kLeaveLimit)) == is_withdrawn);
  }
  CHECK(CountOutcome(load.results(), LoadOutcome::kServed) ==
        load.results().size());
}

}  // namespace
}  // namespace parsleyquay
