#include "placement/placement.h"

#include <catch2/catch.hpp>
#include <random>

#include "placement/cold_start_limiter.h"
#include "placement/exploration.h"

namespace parsleyquay {
namespace {

constexpr double kGood = 0.02;
constexpr double kBad = 0.7;

PlacementCandidate Server(double failure_probability, double load = 0) {
  return {.failure_probability = failure_probability, .load = load, .slots = 3};
}

std::vector<int> CountDraws(const std::vector<PlacementCandidate>& candidates,
                            const PlacementRequest& request,
                            int draws = 5'000) {
  std::mt19937_64 random(3);
  std::vector<int> counts(candidates.size());
  for (int i = 0; i < draws; ++i) {
    if (const auto drawn = SampleServer(candidates, request, random())) {
      ++counts[*drawn];
    }
  }
  return counts;
}

TEST_CASE("what may run once avoids a doubted server") {
  const auto counts =
      CountDraws({Server(kGood), Server(kGood), Server(kBad)}, {});
  CHECK(counts[2] == 0);
  CHECK(counts[0] > 2'000);
  CHECK(counts[1] > 2'000);
}

TEST_CASE("half of the servers doubted: the rest is not overrun") {
  // The good servers hold two full rounds of work; a doubted one is free.
  const auto counts =
      CountDraws({Server(kGood, 9), Server(0.3)}, {.is_retryable = true});
  CHECK(counts[1] > counts[0]);
}

TEST_CASE("a burst: requests spread before the servers report their load") {
  // All look free by their last report, but one was sent most of the requests.
  PlacementCandidate busy = Server(kGood);
  busy.utilization = 0.9;
  const auto counts = CountDraws({busy, Server(kGood)}, {});
  CHECK(counts[0] * 5 < counts[1]);
}

TEST_CASE("a server that cannot be done in time is not chosen") {
  const PlacementRequest request{.expected_service_time = milliseconds(300),
                                 .time_left = milliseconds(400)};
  CHECK(CountDraws({Server(kGood, 12)}, request)[0] == 0);
  CHECK(CountDraws({Server(kGood, 1)}, request)[0] > 0);
}

TEST_CASE("a high rate alone makes no request hopeless") {
  PlacementCandidate busy = Server(kGood);
  busy.utilization = 2;
  CHECK(CountDraws({busy}, {.time_left = milliseconds(500)}, 10)[0] == 10);
}

TEST_CASE("large answers come from near while near is well") {
  PlacementCandidate far = Server(kGood);
  far.is_in_own_domain = false;
  const PlacementRequest bulk{.is_retryable = true, .is_bulk = true};
  CHECK(CountDraws({Server(0.25), far}, bulk)[1] < 10);
  const PlacementRequest last_try{.is_retryable = false, .is_bulk = true};
  CHECK(CountDraws({Server(kBad), far}, last_try)[1] > 4'000);
}

TEST_CASE("a cold server gets less than a warm one") {
  PlacementCandidate cold = Server(kGood);
  cold.is_cold = true;
  const auto counts = CountDraws({Server(kGood), cold}, {});
  CHECK(counts[1] * 3 < counts[0]);
}

TEST_CASE("nothing is chosen where nothing is permitted") {
  PlacementCandidate closed = Server(kGood);
  closed.is_permitted = false;
  CHECK_FALSE(SampleServer({closed, closed}, {}, 1));
  CHECK_FALSE(SampleServer({}, {}, 1));
}

std::vector<int> CountTrials(const std::vector<PlacementCandidate>& candidates,
                             const PlacementRequest& request,
                             const ServiceTraffic& traffic) {
  std::mt19937_64 random(5);
  std::vector<int> counts(candidates.size());
  for (int i = 0; i < 2'000; ++i) {
    const auto trial =
        SampleExplorationCandidates(candidates, request, traffic, random());
    for (std::size_t k = 0; trial && k < trial->size(); ++k) {
      counts[k] += (*trial)[k].is_permitted ? 1 : 0;
    }
  }
  return counts;
}

TEST_CASE("a server that joined is tried soon") {
  PlacementCandidate unused = Server(0.23);
  unused.idle_time = seconds(60);
  const auto counts =
      CountTrials({Server(kGood), unused}, {}, {.served_per_second = 20});
  CHECK(counts[1] > 100);
  CHECK(counts[0] == 0);
}

TEST_CASE("a doubted server is left alone while little goes unserved") {
  PlacementCandidate doubted = Server(kBad);
  doubted.idle_time = seconds(4);
  const ServiceTraffic calm{.served_per_second = 50, .failed_per_second = 1};
  CHECK(CountTrials({doubted}, {}, calm)[0] == 0);
  SECTION("but tried when much does: the floor") {
    const ServiceTraffic floor{.served_per_second = 40, .failed_per_second = 6};
    CHECK(CountTrials({doubted}, {}, floor)[0] > 0);
  }
  SECTION("but tried by what may be sent again") {
    CHECK(CountTrials({doubted}, {.is_retryable = true}, calm)[0] > 0);
  }
}

TEST_CASE("cold starts: the sum over all instances keeps the bound") {
  const ColdStartLimit limit{
      .requests_per_second = 7.3, .overshoot = 1.5, .slack = 5};
  std::vector<std::string> instances;
  for (int i = 0; i < 44; ++i) {
    instances.push_back("instance-" + std::to_string(i));
  }
  std::map<std::string, ColdStartLimiter> cold_start_limiters;
  std::vector<TimePoint> sent;
  const TimePoint start = TimePoint(seconds(50));
  // Every instance would send all the time.
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
