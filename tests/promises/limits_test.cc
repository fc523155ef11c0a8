// The promise on rates: no workspace gets more than its rate and burst across
// all instances together, whatever happens to the homes of its limits.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

#include "experiment/load_generator.h"
#include "experiment/test_fleet.h"

namespace parsleyquay {
namespace {

constexpr double kRate = 60;
constexpr double kBurst = 24;

FleetOptions SixInstances() {
  FleetOptions options;
  options.profile.instances = 6;
  options.profile.failure_domains = 3;
  options.profile.workspaces = {{"alpha", kRate, kBurst}, {"beta", 50, 20}};
  return options;
}

// Sends four times the rate to all instances in turn, steered by nobody.
LoadGenerator MakeFlood(TestFleet& fleet) {
  LoadStream flood{"alpha", fleet.key("alpha"), "GET", "/work/main/flood",
                   4 * kRate};
  flood.fixed_addresses = fleet.http_addresses();
  flood.max_attempts = 1;
  return LoadGenerator(fleet.http(), fleet.http_addresses(), {flood}, 1);
}

double Excess(TestFleet& fleet) {
  return RateExcessOfRuns(fleet.RunRecords(), "/work/main/flood", kRate,
                          kBurst);
}

std::size_t CountServed(const LoadGenerator& load) {
  return CountOutcome(load.results(), LoadOutcome::kServed);
}

TEST_CASE("a flood over six instances gets its rate and burst, not more") {
  TestFleet fleet(SixInstances());
  REQUIRE(fleet.Start());
  LoadGenerator load = MakeFlood(fleet);
  load.Run(seconds(10));
  CHECK(Excess(fleet) <= 0);
  CHECK(static_cast<double>(CountServed(load)) >= 0.9 * kRate * 10);
}

TEST_CASE("killing the homes of a limit gives nobody more") {
  TestFleet fleet(SixInstances());
  REQUIRE(fleet.Start());
  const int owner = fleet.OwnerOfWorkspaceShard("alpha", 0);
  REQUIRE(owner >= 0);
  LoadGenerator load = MakeFlood(fleet);
  load.Run(seconds(14), [&](Duration elapsed) {
    if (elapsed >= seconds(3)) {
      fleet.KillInstance(owner);
    }
  });
  CHECK(Excess(fleet) <= 0);
  // The successor serves: in the last seconds the whole rate is back.
  const TimePoint end = load.results().back().sent_at;
  const auto late = std::ranges::count_if(load.results(), [&](const auto& r) {
    return r.outcome == LoadOutcome::kServed && end - r.sent_at < seconds(2);
  });
  CHECK(static_cast<double>(late) >= 0.85 * kRate * 2);
}

TEST_CASE("a home that was paused past its rights wakes up without them") {
  TestFleet fleet(SixInstances());
  REQUIRE(fleet.Start());
  const int owner = fleet.OwnerOfWorkspaceShard("alpha", 0);
  REQUIRE(owner >= 0);
  bool is_paused = false;
  bool is_resumed = false;
  LoadGenerator load = MakeFlood(fleet);
  load.Run(seconds(18), [&](Duration elapsed) {
    if (elapsed >= seconds(2) && !is_paused) {
      is_paused = true;
      fleet.instance(owner).Signal(SIGSTOP);
    }
    if (elapsed >= seconds(12) && !is_resumed) {
      is_resumed = true;
      fleet.instance(owner).Signal(SIGCONT);
    }
  });
  fleet.instance(owner).Signal(SIGCONT);
  CHECK(Excess(fleet) <= 0);
}

TEST_CASE("a home that nobody hears gives no more than its share") {
  TestFleet fleet(SixInstances());
  REQUIRE(fleet.Start());
  const int owner = fleet.OwnerOfWorkspaceShard("alpha", 0);
  REQUIRE(owner >= 0);
  bool is_cut = false;
  LoadGenerator load = MakeFlood(fleet);
  load.Run(seconds(15), [&](Duration elapsed) {
    if (elapsed >= seconds(2) && !is_cut) {
      is_cut = true;
      // One way only: it hears the others, and it reads the log.
      fleet.SetLinkFault("cut=" + std::to_string(owner) + ":*");
    }
  });
  CHECK(Excess(fleet) <= 0);
}

TEST_CASE("a large neighbour leaves a small workspace its service") {
  FleetOptions options = SixInstances();
  options.profile.workspaces = {{"alpha", 200, 60}, {"beta", 10, 10}};
  TestFleet fleet(options);
  REQUIRE(fleet.Start());
  const LoadStream small{"beta", fleet.key("beta"), "GET", "/work/main/s", 5};
  LoadGenerator alone(fleet.http(), fleet.http_addresses(), {small}, 1);
  alone.Run(seconds(8));
  const LoadStream large{"alpha", fleet.key("alpha"), "GET", "/work/main/l",
                         1000};
  LoadGenerator both(fleet.http(), fleet.http_addresses(), {small, large}, 2);
  both.Run(seconds(8));
  const auto served = FilterByStream(both.results(), 0);
  const auto answered = CountOutcome(served, LoadOutcome::kServed);
  CHECK(static_cast<double>(answered) >=
        0.99 * static_cast<double>(served.size()));
  // Bounds of the measures: 1.5 times its latency alone, and the class target.
  CHECK(LatencyQuantileMs(served, 0.99) <
        std::max(100.0, 1.5 * LatencyQuantileMs(alone.results(), 0.99)));
}

}  // namespace
}  // namespace parsleyquay
