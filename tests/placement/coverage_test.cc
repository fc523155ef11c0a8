// Minimum server coverage of a service that is short of servers: while between
// a tenth and a half of its requests fail, seven in ten of the servers that
// work must receive a request in any two seconds. Many instances place requests
// with the real decision functions, in virtual time. They learn of each other's
// outcomes late, and some instances are cut off with the requests that clients
// send them.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <vector>

#include "base/rate_meter.h"
#include "placement/exploration.h"
#include "server_health/server_health_estimate.h"

namespace parsleyquay {
namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Duration kWindow = seconds(2);
// Outcomes reach the instances of the same failure domain and of the others
// after these times.
constexpr Duration kOwnDomainDelay = milliseconds(60);
constexpr Duration kOtherDomainDelay = milliseconds(300);
// A server that failed a request is expected to be in use again after this
// time.
constexpr Duration kSoundAfter = seconds(2);
constexpr double kMinCoverage = 0.7;
constexpr double kMinUnservedShare = 0.1;
constexpr double kMaxUnservedShare = 0.5;
// The windows in which the fleet has had time to notice the failures.
constexpr Duration kFirstWindow = seconds(3);

struct Load {
  std::size_t instances = 44;
  std::size_t domains = 4;
  std::size_t servers = 13;
  double requests_per_second = 64;
  // That exceed the rate limit of their workspace.
  double refused_per_second = 0;
  double cut_off_share = 0;       // of the instances, from the start on
  double lost_servers_share = 0;  // that fail all requests
  Duration service_time = milliseconds(190);
  Duration duration = seconds(20);
};

struct Arrival {
  TimePoint at;
  std::size_t server = 0;
  bool is_failure = false;
};

struct Outcome {
  TimePoint at;
  std::size_t server = 0;
  std::size_t domain = 0;  // of the instance
  bool is_failure = false;
  bool is_refused = false;  // by the rate limiter; `server` is not set
};

// What the instances of one failure domain know together.
struct DomainKnowledge {
  std::vector<ServerHealthEstimate> estimates;
  std::vector<TimePoint> used_at;
  RateMeter served;
  RateMeter failed;
  RateMeter attempts;
};

class Fleet {
 public:
  Fleet(Load load, unsigned seed) : load(load), random(seed) {
    this->knowledge.resize(load.domains);
    for (DomainKnowledge& domain : this->knowledge) {
      domain.used_at.resize(load.servers, this->now);
      domain.estimates.resize(load.servers,
                              MakeServerHealthEstimate(this->model, this->now));
    }
    this->degraded.resize(load.servers);
    for (std::size_t i = 0; i < load.servers; ++i) {
      this->degraded[i] =
          this->Chance(this->model.stationary_degraded_probability);
    }
  }

  // Returns the number of windows in which too few working servers were used.
  int CountStarvedWindows() {
    const TimePoint end = this->now + this->load.duration;
    while (this->now < end) {
      this->now += kStep;
      this->ChangeServers();
      this->DeliverOutcomes();
      for (int i = this->CountArrivals(this->load.requests_per_second); i > 0;
           --i) {
        this->PlaceRequest();
      }
      for (int i = this->CountArrivals(this->load.refused_per_second); i > 0;
           --i) {
        this->Report({.at = this->now, .is_failure = true, .is_refused = true});
      }
    }
    return this->CountStarvedWindowsUntil(end);
  }

 private:
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(this->random);
  }

  int CountArrivals(double per_second) {
    return std::poisson_distribution<int>(per_second *
                                          ToSeconds(kStep))(this->random);
  }

  void Report(const Outcome& outcome) {
    for (std::size_t domain = 0; domain < this->load.domains; ++domain) {
      this->undelivered[domain].push_back(outcome);
    }
  }

  bool IsLost(std::size_t server) const {
    return static_cast<double>(server) <
           this->load.lost_servers_share *
               static_cast<double>(this->load.servers);
  }

  void ChangeServers() {
    const double cycle = ToSeconds(this->model.mean_cycle);
    const double share = this->model.stationary_degraded_probability;
    for (std::size_t i = 0; i < this->load.servers; ++i) {
      const double mean = cycle * (this->degraded[i] ? share : 1 - share);
      if (this->Chance(ToSeconds(kStep) / mean)) {
        this->degraded[i] = !this->degraded[i];
      }
    }
  }

  void DeliverOutcomes() {
    for (std::size_t domain = 0; domain < this->load.domains; ++domain) {
      DomainKnowledge& known = this->knowledge[domain];
      std::erase_if(this->undelivered[domain], [&](const Outcome& outcome) {
        const Duration delay =
            outcome.domain == domain ? kOwnDomainDelay : kOtherDomainDelay;
        if (this->now < outcome.at + delay) {
          return false;
        }
        if (outcome.is_refused) {
          RecordEvents(known.failed, 1, this->now);
          return true;
        }
        RecordEvents(known.attempts, 1, this->now);
        RecordEvents(outcome.is_failure ? known.failed : known.served, 1,
                     this->now);
        known.used_at[outcome.server] =
            std::max(known.used_at[outcome.server], outcome.at);
        known.estimates[outcome.server] = UpdateEstimate(
            known.estimates[outcome.server], this->model,
            outcome.is_failure ? ServerOutcome::kFailed
                               : ServerOutcome::kServed,
            std::max(outcome.at, known.estimates[outcome.server].updated_at));
        return true;
      });
    }
  }

  void PlaceRequest() {
    const std::size_t instance = std::uniform_int_distribution<std::size_t>(
        0, this->load.instances - 1)(this->random);
    const bool is_cut_off =
        static_cast<double>(instance) <
        this->load.cut_off_share * static_cast<double>(this->load.instances);
    if (is_cut_off) {
      this->unserved.push_back(this->now);
      this->requests.push_back(this->now);
      return;
    }
    const std::size_t domain = instance % this->load.domains;
    const DomainKnowledge& known = this->knowledge[domain];
    std::vector<PlacementCandidate> candidates(this->load.servers);
    for (std::size_t i = 0; i < this->load.servers; ++i) {
      const TimePoint used_at =
          std::max(known.used_at[i], this->own_use[instance][i]);
      candidates[i] = {
          .failure_probability = FailureProbability(
              DecayEstimate(known.estimates[i], this->model, this->now),
              this->model),
          .slots = 3,
          .is_in_own_domain = i % this->load.domains == domain,
          .idle_time = this->now - used_at};
    }
    const PlacementRequest request{
        .expected_service_time = this->load.service_time,
        .time_left = seconds(2)};
    const double lost_share =
        this->now > this->start + kMemberSilence ? this->load.cut_off_share : 0;
    const ServiceTraffic traffic{
        .attempts_per_second = RateAt(known.attempts, this->now),
        .served_per_second = RateAt(known.served, this->now),
        .failed_per_second = RateAt(known.failed, this->now),
        .lost_instance_share = lost_share,
        .own_domain_share = 1 / static_cast<double>(this->load.domains)};
    const auto explored = SampleExplorationCandidates(candidates, request,
                                                      traffic, this->random());
    const auto chosen = SampleServer(explored ? *explored : candidates, request,
                                     this->random());
    this->requests.push_back(this->now);
    if (!chosen) {
      this->unserved.push_back(this->now);
      return;
    }
    this->Serve(instance, domain, *chosen);
  }

  void Serve(std::size_t instance, std::size_t domain, std::size_t server) {
    const double failure_probability =
        this->IsLost(server)     ? 1
        : this->degraded[server] ? this->model.degraded_failure_probability
                                 : this->model.healthy_failure_probability;
    const bool is_failure = this->Chance(failure_probability);
    const TimePoint done = this->now + this->load.service_time;
    this->own_use[instance][server] = this->now;
    this->arrivals.push_back({this->now, server, is_failure});
    if (is_failure) {
      this->unserved.push_back(this->now);
    }
    this->Report({done, server, domain, is_failure});
  }

  int CountStarvedWindowsUntil(TimePoint end) const {
    int starved = 0;
    for (TimePoint begin = this->start + kFirstWindow; begin + kWindow <= end;
         begin += milliseconds(100)) {
      starved += this->IsStarved(begin) ? 1 : 0;
    }
    return starved;
  }

  bool IsStarved(TimePoint begin) const {
    const auto is_inside = [&](TimePoint at) {
      return at >= begin && at < begin + kWindow;
    };
    const auto count = [&](const std::vector<TimePoint>& times) {
      return static_cast<double>(std::ranges::count_if(times, is_inside));
    };
    const double unserved_share =
        count(this->unserved) / std::max(1., count(this->requests));
    if (unserved_share <= kMinUnservedShare ||
        unserved_share >= kMaxUnservedShare) {
      return false;
    }
    std::vector<bool> is_sound(this->load.servers, true);
    std::vector<bool> is_used(this->load.servers, false);
    for (const Arrival& arrival : this->arrivals) {
      const TimePoint failed_at = arrival.at + this->load.service_time;
      if (arrival.is_failure && failed_at + kSoundAfter > begin &&
          arrival.at < begin) {
        is_sound[arrival.server] = false;
      }
      if (is_inside(arrival.at)) {
        is_used[arrival.server] = true;
      }
    }
    int sound = 0;
    int used = 0;
    for (std::size_t i = 0; i < this->load.servers; ++i) {
      const bool counts = is_sound[i] && !this->IsLost(i);
      sound += counts ? 1 : 0;
      used += counts && is_used[i] ? 1 : 0;
    }
    return used < kMinCoverage * sound;
  }

  // Until then the other instances take a silent one for a live one.
  static constexpr Duration kMemberSilence = milliseconds(3'200);

  Load load;
  std::mt19937_64 random;
  ServerFailureModel model;
  const TimePoint start = TimePoint(seconds(100));
  TimePoint now = start;
  std::vector<DomainKnowledge> knowledge;
  std::vector<bool> degraded;
  std::map<std::size_t, std::map<std::size_t, TimePoint>> own_use;
  std::map<std::size_t, std::vector<Outcome>> undelivered;  // by domain
  std::vector<Arrival> arrivals;
  std::vector<TimePoint> requests;
  std::vector<TimePoint> unserved;
};

// Returns the starved windows of `runs` random runs.
int CountStarvedWindows(const Load& load, unsigned runs = 10) {
  int starved = 0;
  for (unsigned seed = 1; seed <= runs; ++seed) {
    starved += Fleet(load, seed).CountStarvedWindows();
  }
  return starved;
}

TEST_CASE("a small service uses its working servers while many requests fail") {
  CHECK(CountStarvedWindows({}) == 0);
}

TEST_CASE("working servers stay in use while one workspace is refused") {
  CHECK(CountStarvedWindows({.instances = 121,
                             .refused_per_second = 200,
                             .lost_servers_share = 0.3}) == 0);
}

TEST_CASE("working servers stay in use while half of the servers are lost") {
  CHECK(CountStarvedWindows({.servers = 19,
                             .requests_per_second = 76,
                             .lost_servers_share = 0.5}) == 0);
}

TEST_CASE("working servers stay in use while instances are cut off") {
  CHECK(CountStarvedWindows({.instances = 121, .cut_off_share = 0.3}) == 0);
}

TEST_CASE("a large service uses its working servers while many requests fail") {
  CHECK(CountStarvedWindows({.instances = 121,
                             .servers = 142,
                             .requests_per_second = 430,
                             .lost_servers_share = 0.4},
                            3) == 0);
}

TEST_CASE("444 instances use the working servers while many requests fail") {
  CHECK(CountStarvedWindows({.instances = 444,
                             .domains = 6,
                             .servers = 24,
                             .requests_per_second = 120,
                             .cut_off_share = 0.15}) == 0);
}

}  // namespace
}  // namespace parsleyquay
