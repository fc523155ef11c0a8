// Guards against a fleet that stays split after a network partition has ended:
// an aggregator that was partitioned keeps its role, and the shards' owners
// stay unknown to its followers.

#include <algorithm>
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

// Guards against digests that reach one side only after the partition.
TEST_CASE("a configuration reaches members that were partitioned") {
  SimulatedFleet fleet(kInstances, kDomains, 2);
  fleet.RunFor(seconds(5));
  fleet.Partition(PartitionThird(fleet));
  fleet.RunFor(seconds(4));
  for (auto& [name, member] : fleet.members) {
    if (member.election.role.is_aggregator) {
      fleet.SetConfigurationVersion(name, name.back() == '2' ? 8 : 7);
    }
  }
  fleet.Partition({});
  fleet.RunFor(seconds(2));
  for (const auto& [name, member] : fleet.members) {
    CHECK(member.configuration_version == 8);
  }
}

// Guards against messages that are sent without a partition, or in numbers that
// grow with the fleet.
TEST_CASE("rejoin messages are sent only after silence, in bounded numbers") {
  const auto sizes = {std::pair{36, 6}, std::pair{444, 12}};
  for (const auto& [instances, domains] : sizes) {
    SimulatedFleet fleet(instances, domains, 3);
    fleet.RunFor(seconds(5));
    const auto count_probes = [&] {
      std::uint64_t most = 0;
      for (const auto& [name, member] : fleet.members) {
        most = std::max(most, member.rejoin.probes_sent);
      }
      return most;
    };
    CHECK(count_probes() == 0);
    CHECK(fleet.message_counts[kAggregatorReferralMethod] == 0);
    fleet.Partition(PartitionThird(fleet));
    fleet.RunFor(seconds(5));
    CHECK(count_probes() > 0);
    CHECK(count_probes() <= 8 * 5);
  }
}

// Guards against a lost referral or heartbeat that is misread.
TEST_CASE("a decoded referral equals the encoded one") {
  const AggregatorReferral referral{.sender = "a", .aggregator = "b"};
  CHECK(DecodeAggregatorReferral(EncodeAggregatorReferral(referral)) ==
        referral);
  CHECK_FALSE(DecodeAggregatorReferral(Json::Value(Json::objectValue)));
  const Heartbeat heartbeat{.status = {.record = {.name = "a"}},
                            .aggregator = "b"};
  CHECK(DecodeHeartbeat(EncodeHeartbeat(heartbeat)) == heartbeat);
}

// Guards against requests that are never answered since others are repeated
// faster than all are answered.
TEST_CASE("requests for member lists are taken in turn, aggregators' first") {
  constexpr TimePoint kNow = TimePoint(seconds(1'000));
  MemberTable table;
  for (const auto& [name, domain] :
       {std::pair("a-1", "a"), {"a-2", "a"}, {"b-1", "b"}}) {
    UpdateMemberRecord(table, {.name = name, .failure_domain = domain}, kNow);
  }
  MemberUpdates updates;
  updates.list_requests = {{"a-1", {"a", "b"}}, {"a-2", {"a"}}, {"b-1", {"a"}}};
  CHECK(TakeListRequest(updates, table, "a").sender == "b-1");
  CHECK(TakeListRequest(updates, table, "a") ==
        MemberListRequest{"a-1", {"a", "b"}});
  updates.list_requests["a-1"] = {"a"};
  CHECK(TakeListRequest(updates, table, "a").sender == "a-2");
  CHECK(TakeListRequest(updates, table, "a").sender == "a-1");
  CHECK(updates.list_requests.empty());
}

// Guards against members that know no owner until their member lists arrive.
TEST_CASE("digests list the owners of shards after a member has returned") {
  constexpr TimePoint kNow = TimePoint(seconds(1'000));
  MemberTable table;
  UpdateMemberStatus(
      table,
      {.record = {.name = "owner", .failure_domain = "a"}, .owned_shards = {1}},
      Duration(0), kNow);
  UpdateMemberStatus(table, {.record = {.name = "other"}}, Duration(0), kNow);
  MemberUpdates updates;
  AddOwners(updates, table, "b", kNow);
  CHECK(updates.changed_members.empty());
  AddOwners(updates, table, "a", kNow);
  CHECK(updates.changed_members == std::set<std::string>{"owner"});
  updates = {};
  RecordReturn(updates, kNow);
  AddOwners(updates, table, "b", kNow);
  CHECK(updates.changed_members == std::set<std::string>{"owner"});
  updates = {.list_requests = {{"other", {"a"}}}};
  AddOwners(updates, table, "b", kNow);
  CHECK(updates.changed_members == std::set<std::string>{"owner"});
}

}  // namespace
}  // namespace parsleyquay
