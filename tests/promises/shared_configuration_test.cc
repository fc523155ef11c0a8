// Tests fleets of processes whose members get the operators' changes from their
// aggregator instead of the store.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <numeric>

#include "support/configuration_text.h"
#include "support/gateway_processes.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

constexpr int kGateways = 5;
constexpr char kTopic[] = "keyed.op";

// Returns a configuration of about 60 KB, so that its transfer has several
// fragments. `key` is the only API key of workspace "shop".
std::string Configuration(int version, const std::string& key) {
  std::vector<WorkspaceText> workspaces = {{"shop", "\"" + key + "\""}};
  for (int i = 0; i < 600; ++i) {
    const std::string name = "w-" + std::to_string(i);
    workspaces.push_back({name, "\"" + name + "-key\""});
  }
  return ConfigurationText(version, workspaces);
}

struct SharingFleet : GatewayProcesses {
  explicit SharingFleet(bool is_enabled = true, int gateways = kGateways)
      : GatewayProcesses(
            gateways,
            false,
            "link = 200\n",
            is_enabled
                ? "[dissemination]\nconfiguration_from_aggregators = yes\n"
                : "") {
    REQUIRE(this->Start(Configuration(1, "key-1")));
    this->AddServer("s-1", Good());
    REQUIRE(this->Await([&] {
      return this->Send(0, "GET", "/safe/1", "key-1").status == 200;
    }));
    this->RunFor(seconds(4));  // until every gateway follows the aggregator
  }

  // Whether the gateway's newest line about its source names this one.
  bool HasSource(int gateway, const std::string& source) {
    const std::string log = this->Log(gateway);
    const std::size_t begin = log.rfind("event=configuration_source");
    return begin != std::string::npos &&
           log.substr(begin, log.find('\n', begin) - begin)
                   .find("source=" + source) != std::string::npos;
  }

  std::vector<int> GatewaysWithSource(const std::string& source) {
    std::vector<int> gateways;
    for (int i = 0; i < this->count(); ++i) {
      if (this->HasSource(i, source)) {
        gateways.push_back(i);
      }
    }
    return gateways;
  }

  int Aggregator() {
    for (int i = 0; i < kGateways; ++i) {
      if (this->Log(i).find("event=role aggregator=yes") != std::string::npos) {
        return i;
      }
    }
    return -1;
  }

  bool IsServing(int gateway, const std::string& key) {
    return this->Send(gateway, "GET", "/safe/1", key).status == 200;
  }

  // Publishes a configuration whose only key is `key`, and checks that it is in
  // force at the gateways after two seconds.
  void CheckChange(int version,
                   const std::string& key,
                   const std::string& former,
                   const std::vector<int>& gateways) {
    this->Put(kTopic, "config", Configuration(version, key));
    this->RunFor(seconds(2));
    for (const int gateway : gateways) {
      CAPTURE(gateway);
      CHECK(this->Send(gateway, "GET", "/safe/1", former).status == 401);
      CHECK(this->IsServing(gateway, key));
    }
  }
};

const std::vector<int> all_gateways = {0, 1, 2, 3, 4};

// Guards against a read of the store by every instance for every change.
TEST_CASE("members do not read the store after a change") {
  SharingFleet fleet;
  const std::vector<int> members = fleet.GatewaysWithSource("aggregator");
  REQUIRE(members.size() == kGateways - 2);
  const std::vector<int> before = fleet.CountReads(kTopic);
  fleet.CheckChange(2, "key-2", "key-1", all_gateways);
  fleet.CheckChange(3, "key-3", "key-2", all_gateways);
  const std::vector<int> after = fleet.CountReads(kTopic);
  for (const int member : members) {
    CAPTURE(member);
    const auto index = static_cast<std::size_t>(member);
    CHECK(after[index] == before[index]);
    CHECK(fleet.Metrics(member).find(
              "parsleyquay_configuration_reads_avoided") != std::string::npos);
  }
  for (const int reader : fleet.GatewaysWithSource("store")) {
    const auto index = static_cast<std::size_t>(reader);
    CHECK(after[index] > before[index]);
  }
}

TEST_CASE("without the setting every instance reads the store") {
  SharingFleet fleet(false);
  const std::vector<int> before = fleet.CountReads(kTopic);
  fleet.CheckChange(2, "key-2", "key-1", all_gateways);
  const std::vector<int> after = fleet.CountReads(kTopic);
  for (std::size_t i = 0; i < after.size(); ++i) {
    CHECK(after[i] > before[i]);
  }
  CHECK(fleet.GatewaysWithSource("store").empty());
}

// Guards against members that wait for an aggregator that has died.
TEST_CASE("a change is in force although the aggregator was killed") {
  SharingFleet fleet;
  const int aggregator = fleet.Aggregator();
  REQUIRE(aggregator >= 0);
  fleet.process(aggregator).Kill();
  std::vector<int> others = all_gateways;
  std::erase(others, aggregator);
  fleet.CheckChange(2, "key-2", "key-1", others);
}

TEST_CASE("a restarted member has the configuration without the store") {
  SharingFleet fleet;
  const std::vector<int> members = fleet.GatewaysWithSource("aggregator");
  REQUIRE_FALSE(members.empty());
  const int member = members.front();
  const auto index = static_cast<std::size_t>(member);
  fleet.process(member).Kill();
  fleet.CheckChange(2, "key-2", "key-1", {});
  const int before = fleet.CountReads(kTopic)[index];
  fleet.StartGateway(member);
  REQUIRE(fleet.Await([&] { return fleet.IsReady(member); }));
  CHECK(fleet.IsServing(member, "key-2"));
  fleet.RunFor(seconds(3));
  CHECK(fleet.CountReads(kTopic)[index] == before);
  CHECK(fleet.HasSource(member, "aggregator"));
}

// Guards against members that do not notice that the store has returned with
// older data, since they do not read it.
TEST_CASE("changes are in force after the store returned with older data") {
  SharingFleet fleet;
  fleet.CheckChange(2, "key-2", "key-1", all_gateways);
  fleet.SetStoreFault("down=all");
  fleet.RunFor(milliseconds(500));
  fleet.SetStoreFault("rewind_ms=4000");
  fleet.SetStoreFault("up=all");
  fleet.RunFor(seconds(2));
  for (const int gateway : all_gateways) {
    CHECK(fleet.IsServing(gateway, "key-2"));
  }
  fleet.CheckChange(3, "key-3", "key-2", all_gateways);
}

// The store turns away the aggregator and the standby, which read it for the
// others, and two of these.
struct TurnedAwayFleet : SharingFleet {
  explicit TurnedAwayFleet(int gateways) : SharingFleet(true, gateways) {
    this->served = this->GatewaysWithSource("aggregator");
    this->away = this->GatewaysWithSource("store");
    REQUIRE(this->away.size() == 2);
    for (int i = 0; i < 2; ++i) {
      this->away.push_back(this->served.back());
      this->served.pop_back();
    }
  }

  void TurnAway(const std::string& fault) {
    for (const int gateway : this->away) {
      this->SetStoreFault(fault + "=" + std::to_string(gateway));
    }
    // Until no read is left that the store had accepted before.
    this->RunFor(milliseconds(1'300));
  }

  int CountReadsOfServed(const std::string& topic) {
    const std::vector<int> reads = this->CountReads(topic);
    return std::accumulate(
        this->served.begin(), this->served.end(), 0, [&](int sum, int gateway) {
          return sum + reads[static_cast<std::size_t>(gateway)];
        });
  }

  std::vector<int> away;
  std::vector<int> served;
};

// Guards against requests with withdrawn keys, and on removed routes, at
// instances that the store serves: they rely on others, which no longer know
// what the store has.
TEST_CASE("a change is in force although the store turns its readers away") {
  TurnedAwayFleet fleet(9);
  SECTION("with a response") {
    fleet.TurnAway("down");
  }
  SECTION("without a response") {
    fleet.TurnAway("silent");
  }
  fleet.CheckChange(2, "key-2", "key-1", fleet.served);
  // The next one arrives when another instance already reads for the others.
  fleet.CheckChange(3, "key-3", "key-2", fleet.served);
  // The others are told.
  fleet.CheckChange(4, "key-4", "key-3", {0, 1, 2, 3, 4, 5, 6, 7, 8});
}

// Guards against instances that rely on an aggregator and a standby which have
// stopped, until these are replaced.
TEST_CASE("a change is in force although its readers are frozen") {
  SharingFleet fleet(true, 6);
  const std::vector<int> served = fleet.GatewaysWithSource("aggregator");
  for (const int gateway : fleet.GatewaysWithSource("store")) {
    fleet.process(gateway).Signal(SIGSTOP);
  }
  fleet.CheckChange(2, "key-2", "key-1", served);
}

// Guards against requests to a server that has begun to drain, from the same
// instances.
TEST_CASE("a server drains in time although the store turns its readers away") {
  TurnedAwayFleet fleet(9);
  ScriptedServer& leaving = fleet.server("s-1");
  fleet.AddServer("s-2", Good());
  for (const int gateway : fleet.served) {
    REQUIRE(fleet.Await([&] { return fleet.IsServing(gateway, "key-1"); }));
  }
  fleet.TurnAway("silent");
  fleet.ListServer("s-1", "draining");
  fleet.RunFor(seconds(2));
  const std::size_t before = leaving.requests().size();
  for (int i = 0; i < 40; ++i) {
    const auto index = static_cast<std::size_t>(i) % fleet.served.size();
    CHECK(fleet.IsServing(fleet.served[index], "key-1"));
  }
  CHECK(leaving.requests().size() == before);
}

// Guards against a store that is read by every instance which its readers can
// no longer tell anything: the calls must not grow with the fleet.
TEST_CASE("few instances read the store while it turns its readers away") {
  constexpr int kFleet = 18;
  constexpr int kSeconds = 6;
  // Of each feed: one reader a second, which may be two at times.
  constexpr int kMostReads = 2 * kSeconds;
  TurnedAwayFleet fleet(kFleet);
  fleet.TurnAway("down");
  const int operators_before = fleet.CountReadsOfServed(kTopic);
  const int servers_before = fleet.CountReadsOfServed("keyed.servers");
  fleet.RunFor(seconds(kSeconds));
  CHECK(fleet.CountReadsOfServed(kTopic) - operators_before <= kMostReads);
  CHECK(fleet.CountReadsOfServed("keyed.servers") - servers_before <=
        kMostReads);
}

// Guards against calls to a store that is down for all: each instance's reads
// of the list of servers show when it is back, so those of the operators' feed
// would only double the calls.
TEST_CASE("members do not read the operators' feed while the store is down") {
  constexpr int kFleet = 10;
  SharingFleet fleet(true, kFleet);
  const std::vector<int> members = fleet.GatewaysWithSource("aggregator");
  REQUIRE(members.size() == kFleet - 2);
  fleet.SetStoreFault("down=all");
  fleet.RunFor(milliseconds(2'500));
  const std::vector<int> before = fleet.CountReads(kTopic);
  fleet.RunFor(seconds(4));
  const std::vector<int> after = fleet.CountReads(kTopic);
  for (const int member : members) {
    const auto index = static_cast<std::size_t>(member);
    CHECK(after[index] == before[index]);
  }
  fleet.SetStoreFault("up=all");
  fleet.RunFor(seconds(3));
  fleet.CheckChange(2, "key-2", "key-1", members);
}

}  // namespace
}  // namespace parsleyquay
