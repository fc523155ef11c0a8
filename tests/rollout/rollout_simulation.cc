#include "rollout/rollout_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

#include "rollout/exposure_account.h"
#include "rollout/rollout_driver.h"

namespace parsleyquay {

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Duration kTick = milliseconds(200);
// Digests carry failures at once and other outcomes with the next regular one.
constexpr Duration kFailureDelay = milliseconds(100);
constexpr Duration kNewsDelay = milliseconds(400);
constexpr ExposureBound kBound = {.share = 0.1, .slack = 50};
constexpr long kBadResponses = 50;

struct Server {
  std::string name;
  std::string domain;
  Duration spell_until = Duration(0);
  std::deque<Duration> arrivals;  // of the last second
  Duration avoided_until = Duration(0);
};

struct Outcome {
  Duration known_at;
  std::string route;
  std::string server;
  std::string domain;
  OutcomeCounts counts;
};

struct Instance {
  ExposureAccount account;
  RolloutStatus status;
  Duration confirmed_at = Duration(0);
};

class Simulation {
 public:
  explicit Simulation(const SimulatedRollout& simulated)
      : simulated(simulated), random(simulated.seed) {
    this->status = *BeginRollout(
        {.service = "s", .to_version = "v2", .duration = simulated.duration},
        std::nullopt, simulated.instances);
    for (int i = 0; i < simulated.servers; ++i) {
      const std::string domain = i % 2 == 0 ? "a" : "b";
      this->old_servers.push_back({"old-" + std::to_string(i), domain});
      this->new_servers.push_back({"new-" + std::to_string(i), domain});
      this->new_names.push_back(this->new_servers.back().name);
    }
    for (int i = 0; i < simulated.instances; ++i) {
      this->instances.push_back(
          {OpenExposureAccount(static_cast<std::uint64_t>(i),
                               simulated.instances, false),
           this->status});
    }
  }

  SimulationResult Run() {
    const Duration limit = this->simulated.duration;
    // Requests of a version that was not rolled back in time are seen as well.
    for (; this->now < limit + seconds(3); this->now += kStep) {
      this->BeginSpells();
      std::poisson_distribution<int> arrivals(
          this->simulated.requests_per_second * ToSeconds(kStep));
      for (int left = arrivals(this->random); left > 0; --left) {
        this->HandleRequest();
      }
      if (this->now % kTick == Duration(0)) {
        this->Drive();
      }
      if (this->now + kStep == limit) {
        this->result.phase = this->status.phase;
        this->result.reason = this->status.reason;
      }
    }
    this->result.allowed =
        kBound.share * static_cast<double>(this->result.requests) +
        kBound.slack;
    return this->result;
  }

 private:
  double Sample() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  void BeginSpells() {
    for (std::vector<Server>* servers :
         {&this->old_servers, &this->new_servers}) {
      for (Server& server : *servers) {
        if (this->Sample() <
            this->simulated.spells_per_second * ToSeconds(kStep)) {
          server.spell_until =
              this->now + milliseconds(2'000 + this->random() % 3'000);
        }
      }
    }
  }

  void HandleRequest() {
    Instance& instance =
        this->instances[this->random() % this->instances.size()];
    if (this->now < this->simulated.duration) {
      ++this->result.requests;
    }
    ++instance.account.requests;
    const VersionChoice choice =
        ChooseVersion(instance.status, this->now - instance.confirmed_at,
                      instance.account, kBound, this->Sample());
    const bool is_new = choice == VersionChoice::kNew;
    Server& server = this->ChooseServer(instance, is_new);
    if (is_new && server.avoided_until > this->now &&
        instance.status.phase == RolloutPhase::kTrial) {
      this->Respond(this->old_servers[this->random() % 2], false);
      return;
    }
    if (is_new) {
      ++instance.account.exposed;
      ++this->result.exposed;
      if (this->bad_responses >= kBadResponses) {
        this->result.late_requests = this->now - this->fiftieth_at;
      }
    }
    this->Respond(server, is_new);
  }

  Server& ChooseServer(const Instance& instance, bool is_new) {
    std::vector<Server>& servers =
        is_new ? this->new_servers : this->old_servers;
    const auto under_load =
        is_new ? ServerUnderLoad(instance.status, this->now, this->new_names)
               : std::nullopt;
    if (under_load) {
      return *std::ranges::find(servers, *under_load, &Server::name);
    }
    Server* chosen = &servers[this->random() % servers.size()];
    // Most requests avoid a server that has failed a moment ago.
    for (int tries = 0; chosen->avoided_until > this->now && tries < 3;
         ++tries) {
      chosen = &servers[this->random() % servers.size()];
    }
    return *chosen;
  }

  void Respond(Server& server, bool is_new) {
    const int route = static_cast<int>(
        this->random() % static_cast<unsigned>(this->simulated.routes));
    server.arrivals.push_back(this->now);
    while (server.arrivals.front() < this->now - seconds(1)) {
      server.arrivals.pop_front();
    }
    const SimulatedRollout& faults = this->simulated;
    const bool is_bad =
        is_new && this->now >= faults.bad_from * faults.duration &&
        (faults.bad_route < 0 || faults.bad_route == route) &&
        static_cast<double>(server.arrivals.size()) >= faults.bad_above_load &&
        this->Sample() < faults.bad_share;
    std::lognormal_distribution<double> latency(std::log(60), 0.5);
    const double factor = is_bad ? faults.slow_factor : 1;
    const Duration elapsed = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(latency(this->random) *
                                                  factor));
    constexpr double kHealthyFailures = 0.012;
    constexpr double kSpellFailures = 0.85;
    const bool has_failed =
        (is_bad && factor <= 1) ||
        this->Sample() < (this->now < server.spell_until ? kSpellFailures
                                                         : kHealthyFailures);
    if (is_new && (has_failed || is_bad) &&
        ++this->bad_responses == kBadResponses) {
      this->fiftieth_at = this->now;
    }
    OutcomeCounts counts;
    if (has_failed) {
      counts.failed = 1;
      server.avoided_until = this->now + milliseconds(700);
    } else {
      counts.latencies[LatencyBucketOf(elapsed)] = 1;
    }
    this->outcomes.push_back(
        {this->now + elapsed + (has_failed ? kFailureDelay : kNewsDelay),
         std::to_string(route), is_new ? server.name : "", server.domain,
         counts});
  }

  void Drive() {
    std::erase_if(this->outcomes, [this](const Outcome& outcome) {
      const bool is_known = outcome.known_at <= this->now;
      if (is_known) {
        AddEvidence(this->evidence, outcome.route, outcome.server,
                    outcome.domain, outcome.counts, this->now);
      }
      return is_known;
    });
    const double progress =
        ToSeconds(this->now) / ToSeconds(this->simulated.duration);
    if (progress >= this->simulated.driver_lost_from &&
        progress < this->simulated.driver_lost_until) {
      return;
    }
    const RolloutStatus next = NextStatus(
        this->status, {.elapsed = this->now,
                       .in_status = this->now - this->changed_at,
                       .new_servers = this->new_servers.size(),
                       .comparison = CompareVersions(this->evidence, this->now),
                       .bound = kBound});
    if (next != this->status) {
      this->changed_at = this->now;
      this->result.ended_at = this->now;
      this->status = next;
    }
    for (Instance& instance : this->instances) {
      if (this->Sample() >= this->simulated.lost_statuses) {
        instance.status = MergeStatuses(instance.status, this->previous);
        instance.confirmed_at = this->now - kTick;
      }
    }
    this->previous = this->status;  // received one tick later
  }

  SimulatedRollout simulated;
  std::mt19937 random;
  Duration now = Duration(0);
  std::vector<Server> old_servers;
  std::vector<Server> new_servers;
  std::vector<std::string> new_names;
  std::vector<Instance> instances;
  std::vector<Outcome> outcomes;
  VersionEvidence evidence;
  RolloutStatus status;
  RolloutStatus previous;
  Duration changed_at = Duration(0);
  long bad_responses = 0;
  Duration fiftieth_at = Duration(0);
  SimulationResult result;
};

}  // namespace

SimulationResult Simulate(const SimulatedRollout& simulated) {
  return Simulation(simulated).Run();
}

}  // namespace parsleyquay
