#include "placement/placement.h"

#include <catch2/catch.hpp>
#include <random>

#include "placement/cold_start_limiter.h"
#include "placement/exploration.h"

namespace parsleyquay {
namespace {

constexpr double kHealthy = 0.02;
constexpr double kFailing = 0.7;

PlacementCandidate Server(double failure_probability, double load = 0) {
  return {.failure_probability = failure_probability, .load = load, .slots = 3};
}

// Returns how often each candidate is chosen.
std::vector<int> CountChoices(const std::vector<PlacementCandidate>& candidates,
                              const PlacementRequest& request,
                              int samples = 5'000) {
  std::mt19937_64 random(3);
  std::vector<int> counts(candidates.size());
  for (int i = 0; i < samples; ++i) {
    if (const auto chosen = SampleServer(candidates, request, random())) {
      ++counts[*chosen];
    }
  }
  return counts;
}

TEST_CASE("a request that cannot be retried avoids a failing server") {
  const auto counts =
      CountChoices({Server(kHealthy), Server(kHealthy), Server(kFailing)}, {});
  CHECK(counts[2] == 0);
  CHECK(counts[0] > 2'000);
  CHECK(counts[1] > 2'000);
}

TEST_CASE("a suspect idle server is preferred to an overloaded healthy one") {
  // The healthy server has twice its slots queued; the suspect one is idle.
  const auto counts =
      CountChoices({Server(kHealthy, 9), Server(0.3)}, {.is_retryable = true});
  CHECK(counts[1] > counts[0]);
}

TEST_CASE("utilization spreads a burst before the servers report their load") {
  // Both last reported no load, but one has received most of the requests.
  PlacementCandidate busy = Server(kHealthy);
  busy.utilization = 0.9;
  const auto counts = CountChoices({busy, Server(kHealthy)}, {});
  CHECK(counts[0] * 5 < counts[1]);
}

TEST_CASE("a server that cannot meet the deadline is not chosen") {
  const PlacementRequest request{.expected_service_time = milliseconds(300),
                                 .time_left = milliseconds(400)};
  CHECK(CountChoices({Server(kHealthy, 12)}, request)[0] == 0);
  CHECK(CountChoices({Server(kHealthy, 1)}, request)[0] > 0);
}

TEST_CASE("a high utilization alone does not rule out a server") {
  PlacementCandidate busy = Server(kHealthy);
  busy.utilization = 2;
  CHECK(CountChoices({busy}, {.time_left = milliseconds(500)}, 10)[0] == 10);
}

TEST_CASE("large responses come from the own domain while it is healthy") {
  PlacementCandidate remote = Server(kHealthy);
  remote.is_in_own_domain = false;
  const PlacementRequest bulk{.is_retryable = true, .is_bulk = true};
  CHECK(CountChoices({Server(0.25), remote}, bulk)[1] < 10);
  const PlacementRequest last_try{.is_retryable = false, .is_bulk = true};
  CHECK(CountChoices({Server(kFailing), remote}, last_try)[1] > 4'000);
}

TEST_CASE("a cold server receives fewer requests than a warm one") {
  PlacementCandidate cold = Server(kHealthy);
  cold.is_cold = true;
  const auto counts = CountChoices({Server(kHealthy), cold}, {});
  CHECK(counts[1] * 3 < counts[0]);
}

TEST_CASE("no server is chosen if none is permitted") {
  PlacementCandidate forbidden = Server(kHealthy);
  forbidden.is_permitted = false;
  CHECK_FALSE(SampleServer({forbidden, forbidden}, {}, 1));
  CHECK_FALSE(SampleServer({}, {}, 1));
}

// Returns how often each candidate is offered for exploration.
std::vector<int> CountExplorations(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request,
    const ServiceTraffic& traffic) {
  std::mt19937_64 random(5);
  std::vector<int> counts(candidates.size());
  for (int i = 0; i < 2'000; ++i) {
    const auto explored =
        SampleExplorationCandidates(candidates, request, traffic, random());
    for (std::size_t k = 0; explored && k < explored->size(); ++k) {
      counts[k] += (*explored)[k].is_permitted ? 1 : 0;
    }
  }
  return counts;
}

TEST_CASE("a new server is explored soon") {
  PlacementCandidate unused = Server(0.23);
  unused.idle_time = seconds(60);
  const auto counts =
      CountExplorations({Server(kHealthy), unused}, {},
                        {.attempts_per_second = 20, .served_per_second = 20});
  CHECK(counts[1] > 100);
  CHECK(counts[0] == 0);
}

TEST_CASE("a suspect server is not explored while few requests fail") {
  PlacementCandidate suspect = Server(kFailing);
  suspect.idle_time = seconds(4);
  const ServiceTraffic calm{.attempts_per_second = 51,
                            .served_per_second = 50,
                            .failed_per_second = 1};
  CHECK(CountExplorations({suspect}, {}, calm)[0] == 0);
  SECTION("but is explored while many fail, for minimum server coverage") {
    const ServiceTraffic failing{.attempts_per_second = 46,
                                 .served_per_second = 40,
                                 .failed_per_second = 6};
    CHECK(CountExplorations({suspect}, {}, failing)[0] > 0);
  }
  SECTION("but is explored by requests that can be retried") {
    CHECK(CountExplorations({suspect}, {.is_retryable = true}, calm)[0] > 0);
  }
}

TEST_CASE("large bodies explore no server of another failure domain") {
  PlacementCandidate remote = Server(0.23);
  remote.is_in_own_domain = false;
  remote.idle_time = seconds(60);
  const ServiceTraffic failing{.attempts_per_second = 46,
                               .served_per_second = 40,
                               .failed_per_second = 6};
  CHECK(CountExplorations({remote}, {.is_bulk = true}, failing)[0] == 0);
  CHECK(CountExplorations({remote}, {}, failing)[0] > 0);
}

TEST_CASE("all instances together keep the limit of a cold server") {
  const ColdStartLimit limit{
      .requests_per_second = 7.3, .overshoot = 1.5, .slack = 5};
  std::vector<std::string> instances;
  for (int i = 0; i < 44; ++i) {
    instances.push_back("instance-" + std::to_string(i));
  }
  std::map<std::string, ColdStartLimiter> cold_start_limiters;
  std::vector<TimePoint> sent;
  const TimePoint start = TimePoint(seconds(50));
  // Every instance sends whenever it may.
  for (int step = 0; step < 600; ++step) {
    const TimePoint now = start + milliseconds(10 * step);
    for (const std::string& instance : instances) {
      if (MaySendToColdServer(cold_start_limiters[instance], limit, instance,
                              instances, "cold", now)) {
        RecordColdServerRequest(cold_start_limiters[instance], "cold", now);
        sent.push_back(now);
      }
    }
  }
  for (const TimePoint first : sent) {
    const auto in_second = std::count_if(
        sent.begin(), sent.end(),
        [&](TimePoint at) { return at >= first && at < first + seconds(1); });
    CHECK(static_cast<double>(in_second) <= 7.3 * 1.5 + 5);
  }
  CHECK(sent.size() > 30);
}

}  // namespace
}  // namespace parsleyquay
