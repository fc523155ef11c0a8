#include "admission/overload_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <set>
#include <utility>

#include "placement/placement.h"
#include "retry/fleet_retry_budget.h"

namespace parsleyquay {

namespace {

constexpr double kStep = 0.01;            // seconds
constexpr double kDigestInterval = 0.35;  // seconds, with the delay on the way
constexpr double kEstimateInterval = 0.1;
constexpr FleetRetryLimit kRetryLimit = {.slack = 100};

struct Request {
  AdmissionRequest admission;
  std::size_t kind = 0;
  std::set<std::size_t> tried;
};

struct Job {
  Request request;
  std::size_t instance = 0;
  double ends_at = 0;  // once it runs
};

struct Server {
  std::vector<Job> running;
  std::deque<Job> waiting;
  double load() const {
    return static_cast<double>(this->running.size() + this->waiting.size());
  }
};

// What the digests tell all instances.
struct FleetView {
  std::vector<double> loads;
  RateMeter completions;
  RateMeter failures;
  RateMeter attempts;
  RateMeter sheds;
};

struct Instance {
  ServiceAdmission admission;
  RateMeter ended;
  FleetRetryBudget budget;
  std::map<std::uint64_t, Request> waiting;
  double estimated_at = -1;
};

class Simulation {
 public:
  explicit Simulation(const SimulationSettings& settings)
      : settings(settings),
        random(settings.seed),
        servers(static_cast<std::size_t>(settings.service.server_count)),
        instances(static_cast<std::size_t>(settings.instance_count)) {
    this->result.outcomes.resize(settings.traffic.size());
    this->view.loads.resize(this->servers.size());
  }

  SimulationResult Run() {
    double next_digest = 0;
    double used = 0;
    for (; this->time < this->settings.duration; this->time += kStep) {
      this->RunServers();
      if (this->time >= next_digest) {
        this->SendDigest();
        next_digest += kDigestInterval;
      }
      for (std::size_t i = 0; i < this->instances.size(); ++i) {
        this->Dispatch(i);
      }
      this->Arrive();
      for (const Server& server : this->servers) {
        used += static_cast<double>(server.running.size()) * kStep;
      }
    }
    const SimulatedService& service = this->settings.service;
    this->result.slot_use =
        used / (this->settings.duration * service.slots * service.server_count);
    this->result.shed_share =
        static_cast<double>(this->total_sheds) /
        std::max(1., static_cast<double>(this->result.first_attempts +
                                         this->result.second_attempts));
    return this->result;
  }

 private:
  TimePoint now() const {
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1000 + this->time)));
  }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  bool IsUsable(std::size_t server) const {
    return this->time < this->settings.service.lost_at ||
           server >=
               static_cast<std::size_t>(this->settings.service.lost_servers);
  }

  void Arrive() {
    for (std::size_t kind = 0; kind < this->settings.traffic.size(); ++kind) {
      const SimulatedTraffic& traffic = this->settings.traffic[kind];
      const int count = std::poisson_distribution<int>(
          traffic.rate(this->time) * kStep)(this->random);
      for (int i = 0; i < count; ++i) {
        Request request{.kind = kind};
        request.admission = {.id = ++this->last_id,
                             .workspace = traffic.workspace,
                             .priority = traffic.priority,
                             .started_at = this->now(),
                             .latency_target = traffic.latency_target,
                             .deadline = this->now() + traffic.timeout};
        ++this->result.outcomes[kind].arrived;
        this->Admit(this->random() % this->instances.size(), request);
      }
    }
  }

  RetrySupply SupplyOf(const Instance& instance) const {
    return {
        CanSpendRetry(instance.budget, kRetryLimit, this->RankOf(instance),
                      this->now()),
        ArrivalRate(instance.admission, this->now()) * kRetryLimit.ratio * 0.8};
  }
  InstanceRank RankOf(const Instance& instance) const {
    return {static_cast<std::size_t>(&instance - this->instances.data()),
            this->instances.size()};
  }

  void Admit(std::size_t index, const Request& request) {
    Instance& instance = this->instances[index];
    this->Estimate(instance);
    if (!this->settings.has_queue) {
      const bool may_send =
          !request.admission.is_retry || this->SupplyOf(instance).is_available;
      may_send ? this->Send(index, request) : this->Fail(index, request);
      return;
    }
    const AdmissionDecision decision =
        DecideOnArrival(instance.admission, request.admission,
                        this->SupplyOf(instance), this->now());
    switch (decision.verdict) {
      case AdmissionVerdict::kSend:
        this->Send(index, request);
        return;
      case AdmissionVerdict::kReject:
        this->Fail(index, request);
        return;
      case AdmissionVerdict::kWait:
        AddRequest(instance.admission.queue, request.admission);
        instance.waiting[request.admission.id] = request;
        return;
    }
  }

  void Dispatch(std::size_t index) {
    Instance& instance = this->instances[index];
    if (instance.waiting.empty()) {
      return;
    }
    this->Estimate(instance);
    while (const auto next = TakeSendable(
               instance.admission, this->SupplyOf(instance), this->now())) {
      this->Send(index, instance.waiting.extract(next->id).mapped());
    }
    for (const AdmissionRequest& hopeless : TakeHopeless(
             instance.admission, this->SupplyOf(instance), this->now())) {
      this->Fail(index, instance.waiting.extract(hopeless.id).mapped());
    }
  }

  void Estimate(Instance& instance) {
    if (this->time - instance.estimated_at < kEstimateInterval) {
      return;
    }
    instance.estimated_at = this->time;
    const TimePoint now = this->now();
    ServiceCapacity capacity{
        .service_time =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                this->settings.service.service_time))};
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      if (this->IsUsable(i)) {
        AddServer(capacity,
                  {.slots = static_cast<double>(this->settings.service.slots),
                   .load = this->view.loads[i]});
      }
    }
    capacity.completions_per_second = RateAt(this->view.completions, now);
    const double attempts = RateAt(this->view.attempts, now);
    capacity.shed_share =
        attempts > 0 ? RateAt(this->view.sheds, now) / attempts : 0;
    capacity.instance_share = InstanceShare(
        RateAt(instance.ended, now),
        capacity.completions_per_second + RateAt(this->view.failures, now),
        this->instances.size());
    UpdateCapacity(instance.admission, capacity, now);
  }

  // Chooses a server as the gateway does.
  std::optional<std::size_t> Choose(const Request& request) {
    std::vector<PlacementCandidate> candidates(this->servers.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      candidates[i] = {
          .load = this->view.loads[i] * 0.6,
          .slots = this->settings.service.slots,
          .is_permitted = this->IsUsable(i) && !request.tried.contains(i)};
    }
    return SampleServer(
        candidates,
        {.expected_service_time =
             std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                 this->settings.service.service_time)),
         .time_left = request.admission.deadline - this->now()},
        this->random());
  }

  void Send(std::size_t index, Request request) {
    Instance& instance = this->instances[index];
    const auto chosen = this->Choose(request);
    if (!chosen) {
      this->Fail(index, request);
      return;
    }
    if (request.admission.is_retry) {
      ++this->result.second_attempts;
      SpendRetry(instance.budget, kRetryLimit, this->RankOf(instance),
                 this->now());
    } else {
      ++this->result.first_attempts;
      EarnRetry(instance.budget, kRetryLimit);
    }
    request.tried.insert(*chosen);
    ++this->new_attempts;
    Server& server = this->servers[*chosen];
    const SimulatedService& service = this->settings.service;
    const bool is_full =
        server.load() >= static_cast<double>(service.slots + service.queue);
    if (is_full || this->Uniform() < service.shed_probability) {
      ++this->new_sheds;
      ++this->total_sheds;
      const SimulatedTraffic& traffic = this->settings.traffic[request.kind];
      if (static_cast<long>(request.tried.size()) >= traffic.max_servers) {
        this->Fail(index, request);
        return;
      }
      request.admission.is_retry = true;
      this->Admit(index, request);
      return;
    }
    server.waiting.push_back({std::move(request), index});
  }

  void RunServers() {
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      Server& server = this->servers[i];
      std::erase_if(server.running, [&](const Job& job) {
        if (job.ends_at > this->time) {
          return false;
        }
        this->Finish(job);
        return true;
      });
      std::erase_if(server.waiting, [&](const Job& job) {
        const bool is_over = job.request.admission.deadline <= this->now();
        if (is_over) {
          this->Fail(job.instance, job.request);
        }
        return is_over;
      });
      const bool is_lost = !this->IsUsable(i);
      while (!is_lost && !server.waiting.empty() &&
             static_cast<int>(server.running.size()) <
                 this->settings.service.slots) {
        Job job = std::move(server.waiting.front());
        server.waiting.pop_front();
        job.ends_at = this->time + std::lognormal_distribution<double>(
                                       -0.045, 0.3)(this->random) *
                                       this->settings.service.service_time;
        server.running.push_back(std::move(job));
      }
    }
  }

  void Finish(const Job& job) {
    const AdmissionRequest& request = job.request.admission;
    SimulatedOutcome& outcome = this->result.outcomes[job.request.kind];
    ++this->new_completions;
    RecordEvents(this->instances[job.instance].ended, 1, this->now());
    if (this->now() <= request.started_at + request.latency_target) {
      ++outcome.served;
    } else {
      ++outcome.late;
    }
  }

  void Fail(std::size_t index, const Request& request) {
    SimulatedOutcome& outcome = this->result.outcomes[request.kind];
    ++outcome.rejected;
    outcome.rejected_late += this->now() - request.admission.started_at >
                                     request.admission.latency_target / 8
                                 ? 1
                                 : 0;
    ++this->new_failures;
    RecordEvents(this->instances[index].ended, 1, this->now());
  }

  void SendDigest() {
    const TimePoint now = this->now();
    std::ranges::transform(this->servers, this->view.loads.begin(),
                           &Server::load);
    const auto tell = [&](RateMeter& meter, long& count) {
      RecordEvents(meter, static_cast<double>(std::exchange(count, 0)), now);
    };
    tell(this->view.completions, this->new_completions);
    tell(this->view.failures, this->new_failures);
    tell(this->view.attempts, this->new_attempts);
    tell(this->view.sheds, this->new_sheds);
  }

  SimulationSettings settings;
  std::mt19937_64 random;
  std::vector<Server> servers;
  std::vector<Instance> instances;
  FleetView view;
  SimulationResult result;
  double time = 0;
  std::uint64_t last_id = 0;
  long new_completions = 0;
  long new_failures = 0;
  long new_attempts = 0;
  long new_sheds = 0;
  long total_sheds = 0;
};

}  // namespace

SimulationResult Simulate(const SimulationSettings& settings) {
  return Simulation(settings).Run();
}

}  // namespace parsleyquay
