// Tests fleets of processes whose members get the operators' changes from their
// aggregator instead of the store.

#include <algorithm>
#include <catch2/catch.hpp>
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
  explicit SharingFleet(bool is_enabled = true)
      : GatewayProcesses(
            kGateways,
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
    for (int i = 0; i < kGateways; ++i) {
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

}  // namespace
}  // namespace parsleyquay
