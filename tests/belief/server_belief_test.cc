#include "belief/server_belief.h"

#include <catch2/catch.hpp>
#include <limits>
#include <random>

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));
constexpr SpellModel kModel;

TEST_CASE("one failure is strong evidence that decays over time") {
  ServerBelief belief = MakeServerBelief(kModel, kStart);
  belief = Learn(belief, kModel, Outcome::kFailed, kStart);
  CHECK(belief.spell_probability > 0.9);
  CHECK(Fade(belief, kModel, kStart + seconds(60)).spell_probability ==
        Approx(kModel.spell_share).margin(0.01));
}

TEST_CASE("a shed request is no evidence about health") {
  const ServerBelief belief = MakeServerBelief(kModel, kStart);
  CHECK(Learn(belief, kModel, Outcome::kShed, kStart) == belief);
}

TEST_CASE("a repeated outcome has the effect of single ones") {
  const ServerBelief start = MakeServerBelief(kModel, kStart);
  for (const Outcome outcome :
       {Outcome::kServed, Outcome::kFailed, Outcome::kBroken,
        Outcome::kUnreachable, Outcome::kOverdue, Outcome::kShed}) {
    ServerBelief one_by_one = start;
    for (long count = 0; count <= 40; ++count) {
      CHECK(LearnRepeated(start, kModel, outcome, count, kStart) == one_by_one);
      one_by_one = Learn(one_by_one, kModel, outcome, kStart);
    }
    CHECK(LearnRepeated(start, kModel, outcome,
                        std::numeric_limits<long>::max(),
                        kStart) == one_by_one);
  }
}

TEST_CASE("an estimate is not decayed to an earlier time") {
  const ServerBelief belief =
      Learn(MakeServerBelief(kModel, kStart), kModel, Outcome::kServed, kStart);
  CHECK(Fade(belief, kModel, kStart - seconds(5)) == belief);
}

// Simulates servers that fail as the model says. Predicted failure
// probabilities that do not match the observed frequencies would distort the
// choice of servers.
TEST_CASE("predicted failure probabilities match the observed frequencies") {
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
    bool is_degraded = uniform(random) < kModel.spell_share;
    ServerBelief belief = MakeServerBelief(kModel, kStart);
    for (int step = 0; step < 3'000; ++step) {
      const TimePoint now = kStart + kStep * step;
      const double rate = is_degraded ? 1 / (cycle * kModel.spell_share)
                                      : 1 / (cycle * (1 - kModel.spell_share));
      is_degraded =
          uniform(random) < rate * kStepSeconds ? !is_degraded : is_degraded;
      if (uniform(random) > 0.4) {
        continue;
      }
      const double predicted =
          FailureProbability(Fade(belief, kModel, now), kModel);
      const bool has_failed =
          uniform(random) < (is_degraded ? kModel.spell_failure_share
                                         : kModel.usual_failure_share);
      Bin& bin = bins[std::min<std::size_t>(
          bins.size() - 1, static_cast<std::size_t>(predicted * 10))];
      ++bin.count;
      bin.failures += has_failed ? 1 : 0;
      bin.expected += predicted;
      belief = Learn(belief, kModel,
                     has_failed ? Outcome::kFailed : Outcome::kServed, now);
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
