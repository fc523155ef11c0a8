#include "retry/simulated_credit_fleet.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

#include "retry/fleet_retry_budget.h"

namespace parsleyquay {

namespace {

constexpr char kService[] = "service";
constexpr int kDigestSteps = 50;
constexpr int kCheckSteps = 10;
constexpr int kPriorities = 3;
constexpr double kEarnedRatioFraction = 0.8;

struct Instance {
  CreditExchange exchange;
  FleetRetryBudget private_budget;
  std::size_t domain = 0;
  Duration clock_offset = Duration(0);
  TimePoint started_at;
  TimePoint down_until;  // by the simulation's clock
  int phase = 0;         // of its timer, in steps
  std::size_t partition = 0;
};

// A message or the news in a digest, on the way.
struct Datagram {
  std::size_t sender = 0;
  std::size_t receiver = 0;
  std::optional<CreditMessage> message;
  CreditNews news;
};

class Simulation {
 public:
  Simulation(const CreditScenario& scenario, unsigned seed)
      : scenario(scenario), random(seed), instances(scenario.instances) {
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
      Instance& instance = this->instances[i];
      instance.domain = i % scenario.domains;
      instance.clock_offset = seconds(this->random() % 100'000);
      instance.phase = static_cast<int>(this->random() % 1'000);
      this->StartProcess(instance, i);
      if (scenario.has_started_before) {
        instance.started_at -= 2 * scenario.limit.window;
      }
    }
  }

  CreditResult Run() {
    const int steps =
        static_cast<int>(this->scenario.duration / ToSeconds(kCreditStep));
    for (this->step = 0; this->step < steps; ++this->step) {
      this->result.steps.emplace_back();
      this->InjectFaults();
      this->Deliver();
      for (std::size_t i = 0; i < this->instances.size(); ++i) {
        this->RunTimers(i);
      }
      this->Arrive();
      if (this->step % kCheckSteps == 0) {
        this->CheckCredit();
      }
    }
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
      this->CollectTotals(i);
    }
    return this->result;
  }

 private:
  TimePoint now() const {
    return TimePoint(seconds(1'000) + kCreditStep * this->step);
  }
  double time() const { return ToSeconds(kCreditStep) * this->step; }
  bool IsNeedy(std::size_t i) const { return i < this->scenario.needy; }
  TimePoint NowOf(const Instance& instance) const {
    return this->now() + instance.clock_offset;
  }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }
  bool IsUp(const Instance& instance) const {
    return instance.down_until <= this->now();
  }
  std::string NameOf(std::size_t i) const {
    return "instance-" + std::to_string(i);
  }

  void StartProcess(Instance& instance, std::size_t i) {
    instance.exchange = {
        .name = this->NameOf(i),
        .incarnation = "process-" + std::to_string(++this->last_process)};
    instance.private_budget = {};
    instance.started_at = this->NowOf(instance);
  }

  void CollectTotals(std::size_t i) {
    const CreditExchange& exchange = this->instances[i].exchange;
    const auto budget = exchange.budgets.find(kService);
    this->result.lapsed += exchange.lapsed_in_pools;
    if (budget == exchange.budgets.end()) {
      return;
    }
    const RetryCreditTotals& totals = budget->second.totals;
    this->result.given += totals.given;
    this->result.lapsed += totals.lapsed;
    if (this->IsNeedy(i)) {
      this->result.received += totals.received;
    }
  }

  // Compares the credit that is valid with the requests that may back it.
  void CheckCredit() {
    double held = 0;
    for (const Instance& instance : this->instances) {
      const TimePoint now = this->NowOf(instance);
      for (const auto& [service, budget] : instance.exchange.budgets) {
        held += ValidAmount(budget.own, now) + ValidAmount(budget.foreign, now);
      }
      for (const auto& [service, pool] : instance.exchange.pools) {
        held += ValidAmount(pool.credit, now);
      }
    }
    const FleetRetryLimit& limit = this->scenario.limit;
    const auto steps =
        std::min<std::ptrdiff_t>(CreditValidity(limit) / kCreditStep + 1,
                                 std::ssize(this->result.steps));
    const long requests = std::accumulate(
        this->result.steps.end() - steps, this->result.steps.end(), 0L,
        [](long sum, const CreditResult::Step& past) {
          return sum + past.requests;
        });
    this->result.excess_credit =
        std::max(this->result.excess_credit,
                 held - static_cast<double>(requests) * limit.ratio *
                            kEarnedRatioFraction);
  }

  void InjectFaults() {
    const CreditFaults& faults = this->scenario.faults;
    const double per_step = ToSeconds(kCreditStep);
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
      Instance& instance = this->instances[i];
      if (this->IsUp(instance) &&
          this->Uniform() < faults.restarts * per_step) {
        this->CollectTotals(i);
        if (this->Uniform() < faults.reboots) {
          instance.clock_offset = -(this->now() - TimePoint());
        }
        instance.down_until =
            this->now() + milliseconds(this->random() % 2'000);
        this->StartProcess(instance, i);
        instance.started_at = instance.down_until + instance.clock_offset;
      }
    }
    if (this->now() >= this->partition_ends) {
      for (Instance& instance : this->instances) {
        instance.partition = 0;
      }
      if (this->Uniform() < faults.partitions * per_step) {
        this->partition_ends =
            this->now() + milliseconds(500 + this->random() % 4'000);
        for (Instance& instance : this->instances) {
          instance.partition = this->random() % 3;
        }
      }
    }
  }

  // Two instances of one failure domain are aggregators at the same time while
  // the network between them is partitioned.
  bool IsAggregator(std::size_t i) const {
    const Instance& own = this->instances[i];
    return std::ranges::none_of(
        this->instances.begin(),
        this->instances.begin() + static_cast<std::ptrdiff_t>(i),
        [&](const Instance& other) {
          return other.domain == own.domain && this->IsUp(other) &&
                 other.partition == own.partition;
        });
  }

  void RunTimers(std::size_t i) {
    Instance& instance = this->instances[i];
    if (!this->scenario.is_pooled || !this->IsUp(instance)) {
      return;
    }
    const TimePoint now = this->NowOf(instance);
    const int own_step = this->step + instance.phase;
    if (own_step % (kCreditInterval / kCreditStep) == 0) {
      instance.exchange.is_aggregator = this->IsAggregator(i);
      for (OutgoingCreditMessage& outgoing :
           RunInterval(instance.exchange, this->scenario.limit, now)) {
        const auto receiver = static_cast<std::size_t>(std::stoul(
            outgoing.receiver.substr(std::string("instance-").size())));
        ++this->result.messages;
        this->Send({i, receiver, std::move(outgoing.message), {}});
      }
    }
    if (instance.exchange.is_aggregator && own_step % kDigestSteps == 0) {
      const CreditNews news = MakeCreditNews(instance.exchange, now);
      for (std::size_t j = 0; j < this->instances.size(); ++j) {
        const bool is_receiver = this->instances[j].domain == instance.domain ||
                                 this->instances[j].exchange.is_aggregator;
        if (j != i && is_receiver) {
          this->Send({i, j, std::nullopt, news});
        }
      }
    }
  }

  // Messages take the same way through JSON as between processes.
  void Send(Datagram datagram) {
    if (datagram.message) {
      datagram.message =
          DecodeCreditMessage(EncodeCreditMessage(*datagram.message));
    } else {
      datagram.news = *DecodeCreditNews(EncodeCreditNews(datagram.news));
    }
    const CreditFaults& faults = this->scenario.faults;
    const int copies = this->Uniform() < faults.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (this->Uniform() >= faults.loss) {
        const unsigned steps = this->Uniform() < faults.long_delay ? 300 : 2;
        this->in_transit.emplace(
            this->step + 1 + static_cast<int>(this->random() % steps),
            datagram);
      }
    }
  }

  void Deliver() {
    while (!this->in_transit.empty() &&
           this->in_transit.begin()->first <= this->step) {
      const Datagram datagram =
          this->in_transit.extract(this->in_transit.begin()).mapped();
      const Instance& sender = this->instances[datagram.sender];
      Instance& receiver = this->instances[datagram.receiver];
      if (!this->IsUp(receiver) || sender.partition != receiver.partition) {
        continue;
      }
      const TimePoint now = this->NowOf(receiver);
      if (datagram.message) {
        OnCreditMessage(receiver.exchange, *datagram.message,
                        this->scenario.limit, now);
      } else {
        OnCreditNews(receiver.exchange, sender.exchange.name,
                     sender.domain == receiver.domain, datagram.news, now);
      }
    }
  }

  void Arrive() {
    const double rate = this->scenario.rate(this->time());
    const int count = std::poisson_distribution<int>(
        rate * ToSeconds(kCreditStep))(this->random);
    for (int request = 0; request < count; ++request) {
      const std::size_t i = this->random() % this->instances.size();
      if (this->IsUp(this->instances[i])) {
        this->HandleRequest(i);
      }
    }
  }

  void HandleRequest(std::size_t i) {
    Instance& instance = this->instances[i];
    const FleetRetryLimit& limit = this->scenario.limit;
    const TimePoint now = this->NowOf(instance);
    const InstanceRank rank{i, this->instances.size()};
    const SlackShare share{
        .rank = rank, .is_usable = now - instance.started_at > limit.window};
    const double shed_probability =
        this->IsNeedy(i) ? this->scenario.shed_probability(this->time()) : 0;
    PooledRetryBudget& budget = instance.exchange.budgets[kService];
    ++this->result.steps.back().requests;
    if (this->scenario.is_pooled) {
      EarnRetry(budget, limit, share, now);
    } else {
      EarnRetry(instance.private_budget, limit);
    }
    if (!this->IsNeedy(i)) {
      this->result.earned_elsewhere += limit.ratio * kEarnedRatioFraction;
    }
    const int priority = static_cast<int>(this->random() % kPriorities);
    for (int retry = 0; retry < this->scenario.max_retries &&
                        this->Uniform() < shed_probability;
         ++retry) {
      ++this->result.needed;
      const bool is_sent =
          this->scenario.is_pooled
              ? SpendRetry(budget, limit, share, priority, now)
              : SpendRetry(instance.private_budget, limit, rank, now);
      if (!is_sent) {
        RecordUnmetRetry(budget, priority, now);
        return;
      }
      ++this->result.steps.back().retries;
    }
  }

  const CreditScenario& scenario;
  std::mt19937 random;
  std::vector<Instance> instances;
  std::multimap<int, Datagram> in_transit;  // by the step of the delivery
  TimePoint partition_ends;
  int step = 0;
  int last_process = 0;
  CreditResult result;
};

}  // namespace

CreditResult SimulateCredit(const CreditScenario& scenario, unsigned seed) {
  return Simulation(scenario, seed).Run();
}

}  // namespace parsleyquay
