#include "limits/shard_takeover.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

constexpr TimePoint kNow{seconds(1000)};
constexpr ShardLimits kLimits{10, 20};
constexpr char kShard[] = "share 0 w";

FleetState MakeFleet(int count) {
  FleetState fleet;
  fleet.view.version = 1;
  for (int i = 0; i < count; ++i) {
    const std::string name = "m" + std::to_string(i);
    fleet.view.members[name] = {name, "inc", "", "", "d"};
  }
  return fleet;
}

FleetState WithoutMember(FleetState fleet, const std::string& name) {
  fleet.past_views.push_back(
      {fleet.view.version, 0, ToPastMembers(fleet.view)});
  fleet.view.members.erase(name);
  ++fleet.view.version;
  return fleet;
}

struct Succession {
  FleetState fleet;
  std::string before;
  std::string after;
};

Succession MakeSuccession() {
  const FleetState first = MakeFleet(6);
  const std::string before = FindShardOwner(first.view, kShard);
  const FleetState second = WithoutMember(first, before);
  return {second, before, FindShardOwner(second.view, kShard)};
}

std::optional<double> StartLevel(
    const Succession& succession,
    const std::optional<EarlierLeaseExpiry>& expiry,
    const HandoverSummaries& summaries = {}) {
  return FindInitialLevel(succession.fleet, succession.after, kShard, kLimits,
                          expiry, summaries, kNow);
}

TEST_CASE("a successor waits until earlier rights have lapsed, then is empty") {
  const Succession succession = MakeSuccession();
  CHECK_FALSE(StartLevel(succession, std::nullopt));
  // What lapsed before the view changed says nothing of the last home.
  CHECK_FALSE(
      StartLevel(succession, EarlierLeaseExpiry{1, kNow - seconds(60)}));
  CHECK(StartLevel(succession, EarlierLeaseExpiry{2, kNow}) == 0);
  CHECK(StartLevel(succession, EarlierLeaseExpiry{2, kNow - seconds(1)}) == 10);
}

TEST_CASE("a handover passes on the level at once") {
  const Succession succession = MakeSuccession();
  HandoverSummary summary{succession.before, "inc", 1, 1, kNow, {}};
  summary.levels[kShard] = 7;
  CHECK(StartLevel(succession, std::nullopt, {{succession.before, summary}}) ==
        7);
}

TEST_CASE("a share that its home never used has been filling") {
  const Succession succession = MakeSuccession();
  const HandoverSummary summary{succession.before,        "inc", 1, 1,
                                kNow - milliseconds(500), {}};
  CHECK(StartLevel(succession, std::nullopt, {{succession.before, summary}}) ==
        5);
}

TEST_CASE("a handover of one who was not the home passes on nothing") {
  const Succession succession = MakeSuccession();
  std::string other;
  for (const auto& [name, member] : succession.fleet.view.members) {
    other = name != succession.after ? name : other;
  }
  const HandoverSummary summary{other, "inc", 1, 1, kNow, {{kShard, 20}}};
  CHECK_FALSE(StartLevel(succession, std::nullopt, {{other, summary}}));
}

TEST_CASE("an old handover is void once another was home in between") {
  Succession succession = MakeSuccession();
  // The view changes twice more: another home, then this one again.
  FleetState fleet = WithoutMember(succession.fleet, succession.after);
  fleet.past_views.push_back(
      {fleet.view.version, 0, ToPastMembers(fleet.view)});
  fleet.view.members[succession.after] = {succession.after, "inc", "", "", "d"};
  ++fleet.view.version;
  succession.fleet = fleet;
  const HandoverSummary summary{succession.before, "inc", 1, 1, kNow,
                                {{kShard, 20}}};
  CHECK_FALSE(
      StartLevel(succession, std::nullopt, {{succession.before, summary}}));
}

TEST_CASE("a share is named by its place and its workspace") {
  CHECK(ShardKey("w", 0) == kShard);
}

TEST_CASE("small bursts are not split so far that nothing is left") {
  CHECK(SplitIntoShards({10, 3, 1}).size() == 1);
  CHECK(SplitIntoShards({10, 10, 1}).size() == 2);
  CHECK(SplitIntoShards({5'000, 500, 1}).size() == 5);
}

}  // namespace
}  // namespace parsleyquay
