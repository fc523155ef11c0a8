// Guards against instances that stay without the owners of shards after network
// partitions, kills and lost messages, in random schedules of these faults.

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>

#include "dissemination/simulated_fleet.h"

namespace parsleyquay {
namespace {

constexpr long kShards = 16;

struct FleetSize {
  int instances = 0;
  int domains = 0;
};

// Draws the faults of one schedule.
class FaultSchedule {
 public:
  FaultSchedule(FleetSize size, unsigned seed)
      : fleet(size.instances, size.domains, seed),
        random(this->fleet.random_source()) {}

  void Run() {
    this->ReassignShards();
    this->fleet.RunFor(seconds(4));
    const int faults = 3 + this->Draw(6);
    for (int i = 0; i < faults; ++i) {
      this->InjectFault();
      this->fleet.RunFor(milliseconds(100 + this->Draw(4'500)));
    }
    this->fleet.Partition({});
    this->fleet.SetLoss(0);
  }

  SimulatedFleet fleet;

 private:
  int Draw(int limit) {
    return static_cast<int>(this->random() % static_cast<unsigned>(limit));
  }

  void InjectFault() {
    switch (this->Draw(8)) {
      case 0:
        this->fleet.Partition({});
        break;
      case 1:
        this->fleet.SetLoss(0.1 * this->Draw(6));
        break;
      case 2:
        this->KillSome();
        break;
      case 3:
        this->RestartAll();
        break;
      case 4:
        this->ReassignShards();
        break;
      default:
        this->PartitionRandomly();
    }
  }

  // Partitions instances, whole failure domains, or both, into 2 or 3 groups.
  void PartitionRandomly() {
    const int groups = 2 + this->Draw(2);
    const bool is_by_domain = this->Draw(3) == 0;
    const int share = 2 + this->Draw(5);
    std::map<std::string, int> of_domain;
    std::map<std::string, int> partition;
    for (const auto& [name, member] : this->fleet.members) {
      const int group = this->Draw(share) == 0 ? 1 + this->Draw(groups - 1) : 0;
      const auto [domain, is_new] =
          of_domain.try_emplace(member.election.failure_domain, group);
      partition[name] = is_by_domain ? domain->second : group;
    }
    this->fleet.Partition(partition);
  }

  void KillSome() {
    const int share = 3 + this->Draw(15);
    for (const auto& [name, member] : this->fleet.members) {
      if (this->Draw(share) == 0) {
        this->fleet.Kill(name);
      }
    }
    this->ReassignShards();
  }

  void RestartAll() {
    for (const auto& [name, member] : this->fleet.members) {
      if (!member.is_running) {
        this->fleet.Restart(name);
      }
    }
  }

  void ReassignShards() {
    std::vector<std::string> running;
    for (const auto& [name, member] : this->fleet.members) {
      if (member.is_running) {
        running.push_back(name);
      }
    }
    std::map<std::string, std::vector<long>> assigned;
    for (long shard = 0; shard < kShards; ++shard) {
      assigned[running[static_cast<std::size_t>(
                   this->Draw(static_cast<int>(running.size())))]]
          .push_back(shard);
    }
    for (const std::string& name : running) {
      if (this->fleet.members.at(name).status.owned_shards != assigned[name]) {
        this->fleet.Own(name, assigned[name]);
      }
    }
  }

  std::mt19937& random;
};

// Returns "" if the fleet of a random schedule is whole again in time after the
// last fault, or else what is missing.
std::string FindFailure(FleetSize size, unsigned seed) {
  FaultSchedule schedule(size, seed);
  schedule.Run();
  SimulatedFleet& fleet = schedule.fleet;
  fleet.RunFor(seconds(4));
  const auto disagreements = fleet.ListDisagreements();
  const auto unknown = fleet.ListUnknownOwners();
  if (disagreements.empty() && unknown.empty()) {
    return "";
  }
  return "seed " + std::to_string(seed) + ": " +
         std::to_string(disagreements.size()) + " split failure domains, " +
         std::to_string(unknown.size()) + " unknown owners, such as " +
         (disagreements.empty() ? "" : disagreements.front()) + "; " +
         (unknown.empty() ? "" : unknown.front());
}

void Search(FleetSize size, unsigned first_seed, unsigned seeds) {
  std::vector<std::string> failures;
  for (unsigned seed = first_seed; seed < first_seed + seeds; ++seed) {
    const std::string failure = FindFailure(size, seed);
    if (!failure.empty()) {
      failures.push_back(failure);
    }
  }
  INFO(failures.size() << " of " << seeds << " schedules failed");
  CHECK(failures == std::vector<std::string>{});
}

TEST_CASE("all owners are known after faults among 36 instances") {
  Search({36, 6}, 1, 20);
}

TEST_CASE("all owners are known after faults among 121 instances") {
  Search({121, 11}, 1, 3);
}

TEST_CASE("all owners are known after faults among 444 instances") {
  Search({444, 12}, 1, 1);
}

// The long form: test_rejoins "[.search]".
TEST_CASE("all owners are known after faults, 300 schedules", "[.search]") {
  Search({36, 6}, 1'000, 200);
  Search({121, 11}, 1'000, 80);
  Search({444, 12}, 1'000, 20);
}

}  // namespace
}  // namespace parsleyquay
