// Load tests without a network: arrivals at a hundred instances are played
// against the slots of a service's servers, with and without admission control.

#include <catch2/catch.hpp>

#include "admission/overload_simulation.h"

namespace parsleyquay {
namespace {

// The simulated service completes 1,600 requests per second.
constexpr double kOverloadBegins = 4;
constexpr double kOverloadEnds = 12;

std::function<double(double)> Steady(double rate) {
  return [rate](double) { return rate; };
}

std::function<double(double)> Burst(double usual, double rate) {
  return [=](double time) {
    return time >= kOverloadBegins && time < kOverloadEnds ? rate : usual;
  };
}

struct Comparison {
  explicit Comparison(SimulationSettings settings) {
    settings.has_queue = false;
    this->without = Simulate(settings);
    settings.has_queue = true;
    this->with = Simulate(settings);
  }

  SimulationResult without;
  SimulationResult with;
};

// Guards against queueing, and against rejections, where a service has free
// capacity.
TEST_CASE("a service with free capacity is served as without a queue") {
  SimulationSettings settings;
  settings.traffic = {{"a", 0, Steady(500)}, {"b", 2, Steady(500)}};
  const Comparison comparison(settings);
  for (std::size_t i = 0; i < settings.traffic.size(); ++i) {
    CHECK(comparison.with.outcomes[i].rejected == 0);
    CHECK(comparison.with.outcomes[i].served ==
          comparison.without.outcomes[i].served);
  }
}

// Guards against requests of the lowest priority that take the capacity of
// higher ones: without the queue all priorities are rejected alike.
TEST_CASE("a burst of the lowest priority does not displace the others") {
  SimulationSettings settings;
  settings.traffic = {{"a", 0, Steady(500)},
                      {"b", 1, Steady(500)},
                      {"c", 2, Burst(200, 2'000)}};
  const Comparison comparison(settings);
  CHECK(comparison.without.outcomes[0].served_share() < 0.9);
  CHECK(comparison.with.outcomes[0].served_share() > 0.97);
  CHECK(comparison.with.outcomes[1].served_share() > 0.95);
  CHECK(comparison.with.outcomes[2].served_share() > 0.25);
  CHECK(comparison.with.slot_use > comparison.without.slot_use - 0.05);
  CHECK(comparison.with.shed_share < 0.05);
}

// Guards against a retry budget that is spent on whichever request is shed
// first.
TEST_CASE("second attempts go to the highest priority where all servers shed") {
  SimulationSettings settings;
  settings.service.shed_probability = 0.5;
  settings.traffic = {
      {"a", 0, Steady(300)}, {"b", 1, Steady(300)}, {"c", 2, Steady(300)}};
  const Comparison comparison(settings);
  CHECK(comparison.with.outcomes[0].served_share() >
        comparison.without.outcomes[0].served_share() + 0.02);
  CHECK(comparison.with.outcomes[0].served_share() >
        comparison.with.outcomes[2].served_share() + 0.05);
  // Sheds that do not come from the load are no reason to hold requests.
  CHECK(comparison.with.outcomes[2].served_share() > 0.47);
}

TEST_CASE("a service that lost a seventh of its servers serves by priority") {
  SimulationSettings settings;
  settings.service.lost_servers = 6;
  settings.service.lost_at = kOverloadBegins;
  settings.traffic = {
      {"a", 0, Steady(500)}, {"b", 1, Steady(500)}, {"c", 2, Steady(550)}};
  const Comparison comparison(settings);
  CHECK(comparison.without.outcomes[0].served_share() < 0.9);
  CHECK(comparison.with.outcomes[0].served_share() > 0.95);
  CHECK(comparison.with.outcomes[1].served_share() >
        comparison.without.outcomes[1].served_share());
  CHECK(comparison.with.outcomes[2].served_share() > 0.4);
  CHECK(comparison.with.slot_use > comparison.without.slot_use - 0.06);
}

// Guards against one workspace that takes the capacity of the others of the
// same priority.
TEST_CASE("a workspace with seven times its load does not displace others") {
  SimulationSettings settings;
  settings.traffic = {{"a", 1, Steady(300)},
                      {"b", 1, Steady(300)},
                      {"c", 1, Burst(300, 2'100)}};
  const Comparison comparison(settings);
  CHECK(comparison.without.outcomes[0].served_share() < 0.9);
  CHECK(comparison.with.outcomes[0].served_share() > 0.96);
  CHECK(comparison.with.outcomes[1].served_share() > 0.96);
  CHECK(comparison.with.outcomes[2].served_share() > 0.35);
}

// Guards against holding a request and rejecting it late, which costs more than
// a rejection at once.
TEST_CASE("few requests are rejected after having been held") {
  SimulationSettings settings;
  settings.traffic = {{"a", 0, Steady(2'000)}, {"c", 2, Steady(1'000)}};
  settings.seed = GENERATE(1U, 2U, 3U);
  const SimulationResult result = Simulate(settings);
  for (const SimulatedOutcome& outcome : result.outcomes) {
    CHECK(static_cast<double>(outcome.rejected_late) <
          0.02 * static_cast<double>(outcome.arrived));
  }
  CHECK(result.outcomes[0].served_share() > 0.65);
  CHECK(result.slot_use > 0.93);
}

}  // namespace
}  // namespace parsleyquay
