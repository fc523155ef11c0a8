#include "server_health/server_health_estimate.h"

#include <catch2/catch.hpp>
#include <limits>
#include <random>

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));
constexpr ServerFailureModel kModel;

TEST_CASE("one failure is strong evidence and fades with the spell") {
  ServerHealthEstimate estimate = MakeServerHealthEstimate(kModel, kStart);
  estimate = UpdateEstimate(estimate, kModel, ServerOutcome::kFailed, kStart);
  CHECK(estimate.degraded_probability > 0.9);
  CHECK(DecayEstimate(estimate, kModel, kStart + seconds(60))
            .degraded_probability ==
        Approx(kModel.stationary_degraded_probability).margin(0.01));
}

TEST_CASE("a shed request says nothing of health") {
  const ServerHealthEstimate estimate =
      MakeServerHealthEstimate(kModel, kStart);
  CHECK(UpdateEstimate(estimate, kModel, ServerOutcome::kShed, kStart) ==
        estimate);
}

TEST_CASE("many alike outcomes count as if they came one by one") {
  const ServerHealthEstimate start = MakeServerHealthEstimate(kModel, kStart);
  for (const ServerOutcome outcome :
       {ServerOutcome::kServed, ServerOutcome::kFailed, ServerOutcome::kBroken,
        ServerOutcome::kUnreachable, ServerOutcome::kOverdue,
        ServerOutcome::kShed}) {
    ServerHealthEstimate one_by_one = start;
    for (long count = 0; count <= 40; ++count) {
      CHECK(UpdateEstimateRepeatedly(start, kModel, outcome, count, kStart) ==
            one_by_one);
      one_by_one = UpdateEstimate(one_by_one, kModel, outcome, kStart);
    }
    CHECK(UpdateEstimateRepeatedly(start, kModel, outcome,
                                   std::numeric_limits<long>::max(),
                                   kStart) == one_by_one);
  }
}

TEST_CASE("an older reading does not turn the clock back") {
  const ServerHealthEstimate estimate =
      UpdateEstimate(MakeServerHealthEstimate(kModel, kStart), kModel,
                     ServerOutcome::kServed, kStart);
  CHECK(DecayEstimate(estimate, kModel, kStart - seconds(5)) == estimate);
}

// Servers that fail by spells as the model says: what is believed must be
// borne out, or the choice of servers weighs wrongly.
TEST_CASE("beliefs are borne out by what happens") {
  std::mt19937 random(11);
  std::uniform_real_distribution<double> uniform(0, 1);
  const double cycle = std::chrono::duration<double>(kModel.mean_cycle).count();
  constexpr Duration kStep = milliseconds(100);
  constexpr double kStepSeconds = 0.1;
  struct Bin {
    long count = 0;
    long failures = 0;
    double expected = 0;
  };
  std::array<Bin, 10> bins = {};
  for (int server = 0; server < 60; ++server) {
    bool is_degraded = uniform(random) < kModel.stationary_degraded_probability;
    ServerHealthEstimate estimate = MakeServerHealthEstimate(kModel, kStart);
    for (int step = 0; step < 3'000; ++step) {
      const TimePoint now = kStart + kStep * step;
      const double rate =
          is_degraded
              ? 1 / (cycle * kModel.stationary_degraded_probability)
              : 1 / (cycle * (1 - kModel.stationary_degraded_probability));
      is_degraded =
          uniform(random) < rate * kStepSeconds ? !is_degraded : is_degraded;
      if (uniform(random) > 0.4) {
        continue;
      }
      const double believed =
          FailureProbability(DecayEstimate(estimate, kModel, now), kModel);
      const bool has_failed =
          uniform(random) < (is_degraded ? kModel.degraded_failure_probability
                                         : kModel.healthy_failure_probability);
      Bin& bin = bins[std::min<std::size_t>(
          bins.size() - 1, static_cast<std::size_t>(believed * 10))];
      ++bin.count;
      bin.failures += has_failed ? 1 : 0;
      bin.expected += believed;
      estimate = UpdateEstimate(
          estimate, kModel,
          has_failed ? ServerOutcome::kFailed : ServerOutcome::kServed, now);
    }
  }
  for (const Bin& bin : bins) {
    if (bin.count >= 500) {
      const auto count = static_cast<double>(bin.count);
      CHECK(static_cast<double>(bin.failures) / count ==
            Approx(bin.expected / count).margin(0.05));
    }
  }
}

}  // namespace
}  // namespace parsleyquay
