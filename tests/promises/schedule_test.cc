// Random schedules of faults, alone and together, against every promise that
// the backend servers' own records can judge. PARSLEYQUAY_SEED chooses one
// seed and PARSLEYQUAY_SECONDS its length; else a few short ones run.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>

#include "experiment/load_generator.h"
#include "experiment/test_fleet.h"

namespace parsleyquay {
namespace {

constexpr int kInstances = 6;
constexpr double kRate = 80;
constexpr double kBurst = 24;
constexpr Duration kFaultInterval = milliseconds(1'500);

FleetOptions MakeOptions(int seed) {
  FleetOptions options;
  options.seed = seed;
  options.profile.instances = kInstances;
  options.profile.failure_domains = 3;
  options.profile.services = {{"main", 9}};
  options.profile.workspaces = {{"alpha", kRate, kBurst}, {"beta", 50, 20}};
  return options;
}

enum class FaultScope {
  kAll,
  kInstances,  // and the log and their links; the servers stay well
};

// What the workspace sends that goes beyond its rate.
enum class Flood {
  kLookups,  // repeated where they fail
  kOrders,   // sent to a server once, so that a run stands for one request
};

constexpr int kServerFaults = 6;
constexpr int kAllFaults = 13;

// Draws and applies faults; the same seed gives the same schedule.
class FaultSchedule {
 public:
  FaultSchedule(TestFleet& fleet, int seed, FaultScope scope)
      : fleet(fleet), random(static_cast<unsigned>(seed)), scope(scope) {}

  void ApplyDue(Duration elapsed) {
    while (elapsed >= this->next_at) {
      this->next_at += kFaultInterval;
      this->ApplyNext();
    }
  }

  void HealAll() {
    this->fleet.SetPlatformFault("down=0&lose_replies=0");
    this->fleet.SetLinkFault("heal=*:*&loss_percent=0");
    this->fleet.SetServerFault("server=all&" + std::string(kWellServer));
    for (int i = 0; i < kInstances; ++i) {
      this->fleet.SetLinkFault("log_heal=" + std::to_string(i));
      this->fleet.instance(i).Signal(SIGCONT);
    }
  }

 private:
  static constexpr char kWellServer[] =
      "slow=1&fail_percent=0&hang=0&die_after_read=0&cross=0";

  int Draw(int count) {
    return static_cast<int>(this->random() % static_cast<unsigned>(count));
  }

  int DrawFault() {
    return this->scope == FaultScope::kAll
               ? this->Draw(kAllFaults)
               : kServerFaults + this->Draw(kAllFaults - kServerFaults);
  }

  void ApplyNext() {
    const std::string server = "server=" + std::to_string(this->Draw(9)) + "&";
    const int instance = this->Draw(kInstances);
    const std::string name = std::to_string(instance);
    switch (this->DrawFault()) {
      case 0:
        this->fleet.SetServerFault(server + "slow=20");
        return;
      case 1:
        this->fleet.SetServerFault(server + "fail_percent=20");
        return;
      case 2:
        this->fleet.SetServerFault(server + "hang=1");
        return;
      case 3:
        this->fleet.SetServerFault(server + "die_after_read=1");
        return;
      case 4:
        this->fleet.SetServerFault(server + "cross=1");
        return;
      case 5:
        this->fleet.SetServerFault(server + "restart=1");
        return;
      case 6:
        this->fleet.IsolateInstance(instance);
        return;
      case 7:
        this->fleet.SetLinkFault("cut=" + name + ":*");
        return;
      case 8:
        this->fleet.SetLinkFault("log_cut=" + name);
        return;
      case 9:
        this->fleet.instance(instance).Signal(SIGSTOP);
        return;
      case 10:
        this->fleet.KillInstance(instance);
        this->fleet.StartInstance(instance);
        return;
      case 11:
        this->fleet.SetPlatformFault(this->Draw(2) == 0 ? "down=1"
                                                        : "lose_replies=1");
        return;
      default:
        this->HealAll();
    }
  }

  TestFleet& fleet;
  std::mt19937 random;
  FaultScope scope;
  Duration next_at = seconds(1);
};

void CheckPromises(TestFleet& fleet, const LoadGenerator& load) {
  std::map<std::string, int> runs_by_path;
  std::map<std::string, int> runs_by_id;
  for (const RunRecord& record : fleet.RunRecords()) {
    CHECK_FALSE(record.has_authorization);
    ++runs_by_path[record.path];
    ++runs_by_id[record.request_id];
  }
  for (const LoadResult& result : load.results()) {
    CAPTURE(result.request_id, result.reason);
    CHECK(result.has_own_request_id);
    for (const std::string& id : result.not_run_ids) {
      CHECK_FALSE(runs_by_id.contains(id));
    }
    if (!result.idempotency_key.empty()) {
      CHECK(runs_by_path["/order/main/" + result.idempotency_key] <= 1);
    }
  }
  CHECK(load.results().size() > 500);
}

// Whether each run of the flood stands for one request that was let through.
bool AreRunsCountable(FaultScope scope, Flood kind) {
  return scope == FaultScope::kInstances || kind == Flood::kOrders;
}

void RunSchedule(int seed, Duration time, FaultScope scope, Flood kind) {
  std::cout << "seed " << seed << std::endl;
  TestFleet fleet(MakeOptions(seed));
  REQUIRE(fleet.Start());
  const std::vector<std::string> addresses = fleet.http_addresses();
  LoadStream flood{"alpha", fleet.key("alpha"), "GET", "/work/main/flood",
                   2 * kRate};
  if (kind == Flood::kOrders) {
    flood.method = "POST";
    flood.target = "/order/main/flood";
  }
  flood.fixed_addresses = addresses;
  LoadStream orders{"beta", fleet.key("beta"), "POST", "/order/main", 25};
  orders.has_idempotency_keys = true;
  orders.may_retry_unknown = true;
  orders.max_attempts = 4;
  LoadGenerator load(fleet.http(), addresses, {flood, orders},
                     static_cast<unsigned>(seed));
  FaultSchedule schedule(fleet, seed, scope);
  load.Run(time, [&](Duration elapsed) { schedule.ApplyDue(elapsed); });
  schedule.HealAll();
  CheckPromises(fleet, load);
  if (AreRunsCountable(scope, kind)) {
    CHECK(RateExcessOfRuns(fleet.RunRecords(), flood.target, kRate, kBurst) <=
          0);
  }
  // Healed, the fleet serves again.
  CHECK(fleet.WaitFor(
      [&] {
        return fleet.Send(0, "GET", "/work/main/healed", "alpha").status == 200;
      },
      seconds(30)));
}

// Runs the given seeds, or the one that the environment chooses.
void RunSeeds(std::vector<int> seeds, FaultScope scope, Flood kind) {
  const char* chosen = std::getenv("PARSLEYQUAY_SEED");
  const char* length = std::getenv("PARSLEYQUAY_SECONDS");
  if (chosen) {
    seeds = {std::atoi(chosen)};
  }
  const Duration time = seconds(length ? std::atoi(length) : 18);
  for (const int seed : seeds) {
    RunSchedule(seed, time, scope, kind);
  }
}

TEST_CASE("promises hold under random schedules of faults") {
  RunSeeds({1, 2, 3}, FaultScope::kAll, Flood::kLookups);
}

// Among well servers a run stands for one request, so that the rate can be
// judged as well.
TEST_CASE("promises on rates hold under random faults among instances") {
  RunSeeds({11, 12}, FaultScope::kInstances, Flood::kLookups);
}

// NOTE: By seed 23 every member is removed once and joins again.
TEST_CASE("promises on rates hold under random faults of servers too") {
  RunSeeds({21, 23}, FaultScope::kAll, Flood::kOrders);
}

}  // namespace
}  // namespace parsleyquay
