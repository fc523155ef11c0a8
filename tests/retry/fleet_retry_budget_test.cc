#include "retry/fleet_retry_budget.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));

// Every instance sends again whenever it may, at several rates of requests.
TEST_CASE("repeats of all instances stay within ratio and slack") {
  for (const int requests_per_step : {0, 1, 4, 20}) {
    const FleetRetryLimit limit{
        .ratio = 0.2, .slack = 58, .window = seconds(10)};
    constexpr std::size_t kInstances = 36;
    std::vector<FleetRetryBudget> budgets(kInstances);
    std::mt19937 random(9);
    std::vector<std::pair<long, long>> steps;  // requests, repeats
    for (int step = 0; step < 800; ++step) {
      const TimePoint now = kStart + milliseconds(50 * step);
      long repeats = 0;
      for (int i = 0; i < requests_per_step; ++i) {
        EarnRetry(budgets[random() % kInstances], limit);
      }
      for (std::size_t i = 0; i < kInstances; ++i) {
        while (SpendRetry(budgets[i], limit, {i, kInstances}, now)) {
          ++repeats;
        }
      }
      steps.emplace_back(requests_per_step, repeats);
    }
    constexpr std::size_t kStepsPerWindow = 200;
    for (std::size_t first = 0; first + kStepsPerWindow <= steps.size();
         ++first) {
      long requests = 0;
      long repeats = 0;
      for (std::size_t i = first; i < first + kStepsPerWindow; ++i) {
        requests += steps[i].first;
        repeats += steps[i].second;
      }
      REQUIRE(static_cast<double>(repeats) <=
              0.2 * static_cast<double>(requests) + 58);
    }
  }
}

TEST_CASE("a retry is there for a failure now and then") {
  const FleetRetryLimit limit;
  FleetRetryBudget budget;
  CHECK(CanSpendRetry(budget, limit, {0, 1}, kStart));
  CHECK(SpendRetry(budget, limit, {0, 1}, kStart));
}

}  // namespace
}  // namespace parsleyquay
