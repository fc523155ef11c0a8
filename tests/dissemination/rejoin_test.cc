// Guards against a fleet that stays split after a network partition has ended:
// an aggregator that was partitioned keeps its role, and the shards' owners
// stay unknown to its followers.

#include <catch2/catch.hpp>

#include "dissemination/simulated_fleet.h"

namespace parsleyquay {
namespace {

constexpr int kInstances = 36;
constexpr int kDomains = 6;

// Every other member owns a shard.
void OwnSomeShards(SimulatedFleet& fleet) {
  long shard = 0;
  for (const auto& [name, member] : fleet.members) {
    if (shard < 12) {
      fleet.Own(name, {shard});
    }
    ++shard;
  }
}

// Returns a partition of every third member from the others.
std::map<std::string, int> PartitionThird(const SimulatedFleet& fleet) {
  std::map<std::string, int> groups;
  int index = 0;
  for (const auto& [name, member] : fleet.members) {
    groups[name] = index++ % 3 == 0 ? 1 : 0;
  }
  return groups;
}

// The load: a third of 36 instances is partitioned for 4 s and again for 3 s.
TEST_CASE("members that were partitioned follow the others' aggregator again") {
  SimulatedFleet fleet(kInstances, kDomains, 1);
  OwnSomeShards(fleet);
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.ListDisagreements().empty());
  REQUIRE(fleet.ListUnknownOwners().empty());
  fleet.Partition(PartitionThird(fleet));
  fleet.RunFor(seconds(4));
  fleet.Partition({});
  SECTION("after one network partition") {}
  SECTION("after a second one") {
    fleet.RunFor(seconds(4));
    fleet.Partition(PartitionThird(fleet));
    fleet.RunFor(seconds(3));
    fleet.Partition({});
  }
  fleet.RunFor(seconds(1));
  CHECK(fleet.ListDisagreements() == std::vector<std::string>{});
  fleet.RunFor(seconds(3));
  const auto unknown = fleet.ListUnknownOwners();
  INFO(unknown.size() << " unknown, such as: "
                      << (unknown.empty() ? "" : unknown.front()));
  CHECK(unknown.empty());
}

}  // namespace
}  // namespace parsleyquay
