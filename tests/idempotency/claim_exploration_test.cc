// Explores at-most-once over all interleavings of two requests with one key:
// messages to the two homes of the key arrive in any order, may be lost, and
// the instances in between may stop at any step.

#include <array>
#include <catch2/catch.hpp>
#include <set>
#include <sstream>
#include <vector>

#include "idempotency/claim_plan.h"
#include "idempotency/claim_table.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kNow{seconds(1000)};
constexpr int kOwners = 2;

// One request that claims the key at each home in turn and then runs.
struct Requester {
  std::string id;
  int owners_recorded = 0;
  bool has_given_up = false;
  bool has_run = false;
  auto operator<=>(const Requester&) const = default;
};

struct World {
  std::array<std::set<std::pair<std::string, std::string>>, kOwners> ledgers;
  std::array<Requester, 2> requesters = {Requester{"a"}, Requester{"b"}};
  auto operator<=>(const World&) const = default;
};

ClaimTable ToTable(const World& world, int owner) {
  ClaimTable table;
  for (const auto& [key, id] : world.ledgers[static_cast<std::size_t>(owner)]) {
    table.claims[key] = {id, ClaimState::kRunning, {}, kNow};
  }
  return table;
}

void StoreTable(World& world, int owner, const ClaimTable& table) {
  auto& stored = world.ledgers[static_cast<std::size_t>(owner)];
  stored.clear();
  for (const auto& [key, claim] : table.claims) {
    stored.insert({key, claim.request_id});
  }
}

enum class Fate { kDelivered, kAnswerLost, kAbandoned };

// Lets a requester take its next step. `order` is the order in which it asks
// the homes, as its view gives it.
World Step(World world, int who, Fate fate, const std::array<int, 2>& order) {
  Requester& requester = world.requesters[static_cast<std::size_t>(who)];
  if (requester.owners_recorded == kOwners) {
    requester.has_run = true;
    return world;
  }
  if (fate == Fate::kAbandoned) {
    requester.has_given_up = true;
    for (int owner = 0; owner < kOwners; ++owner) {
      StoreTable(world, owner,
                 AbandonClaim(ToTable(world, owner), "key", requester.id));
    }
    return world;
  }
  const int owner = order[static_cast<std::size_t>(requester.owners_recorded)];
  ClaimAttempt attempt =
      RecordClaim(ToTable(world, owner), "key", requester.id, kNow);
  StoreTable(world, owner, attempt.table);
  if (fate == Fate::kAnswerLost) {
    return world;  // The claim stands; the requester will ask again.
  }
  if (attempt.status == ClaimStatus::kRecorded) {
    ++requester.owners_recorded;
  } else {
    requester.has_given_up = true;
  }
  return world;
}

std::size_t Explore(const World& world,
                    const std::array<std::array<int, 2>, 2>& orders,
                    std::set<World>& seen,
                    const std::string& trace) {
  if (!seen.insert(world).second) {
    return 0;
  }
  CAPTURE(trace);
  REQUIRE_FALSE((world.requesters[0].has_run && world.requesters[1].has_run));
  std::size_t states = 1;
  for (int who = 0; who < 2; ++who) {
    const Requester& requester =
        world.requesters[static_cast<std::size_t>(who)];
    if (requester.has_run || requester.has_given_up) {
      continue;
    }
    for (const Fate fate :
         {Fate::kDelivered, Fate::kAnswerLost, Fate::kAbandoned}) {
      const bool is_claimed = requester.owners_recorded == kOwners;
      if (is_claimed && fate != Fate::kDelivered) {
        continue;
      }
      std::ostringstream next;
      next << trace << ' ' << requester.id << ':' << static_cast<int>(fate);
      states +=
          Explore(Step(world, who, fate, orders[static_cast<std::size_t>(who)]),
                  orders, seen, next.str());
    }
  }
  return states;
}

TEST_CASE("no interleaving of two claims lets both run") {
  constexpr std::array<int, 2> kForward = {0, 1};
  constexpr std::array<int, 2> kBackward = {1, 0};
  for (const auto& second : {kForward, kBackward}) {
    std::set<World> seen;
    CHECK(Explore(World{}, {kForward, second}, seen, "") > 20);
  }
}

FleetState MakeFleet(int count) {
  FleetState fleet;
  for (int i = 0; i < count; ++i) {
    const std::string name = "m" + std::to_string(i);
    fleet.view.members[name] = {name, "inc-" + name, "", "",
                                "d" + std::to_string(i % 3)};
  }
  fleet.view.version = 1;
  return fleet;
}

// Replaces the view as a record of the log would.
FleetState Without(FleetState fleet, const std::string& name) {
  fleet.past_views.push_back(
      {fleet.view.version, 0, ToPastMembers(fleet.view)});
  fleet.view.members.erase(name);
  ++fleet.view.version;
  return fleet;
}

TEST_CASE("after any one loss, whoever remembers a claim is asked") {
  const FleetState fleet = MakeFleet(9);
  for (int key = 0; key < 50; ++key) {
    const std::string digest = "key-" + std::to_string(key);
    const ClaimPlan before = PlanClaim(fleet, digest);
    for (const std::string& lost : before.owners) {
      const ClaimPlan after = PlanClaim(Without(fleet, lost), digest);
      CHECK(after.history == ClaimHistory::kComplete);
      std::set<std::string> asked(after.owners.begin(), after.owners.end());
      for (const auto& group : after.former_owner_groups) {
        asked.insert(group.begin(), group.end());
      }
      const std::string& survivor =
          before.owners[0] == lost ? before.owners[1] : before.owners[0];
      CHECK(asked.contains(survivor));
    }
  }
}

TEST_CASE("the loss of both homes of a key is known as a loss of memory") {
  const FleetState fleet = MakeFleet(9);
  const ClaimPlan plan = PlanClaim(fleet, "key");
  const FleetState after =
      Without(Without(fleet, plan.owners[0]), plan.owners[1]);
  CHECK(PlanClaim(after, "key").history == ClaimHistory::kLost);
}

TEST_CASE("members that were released in turn lose no memory") {
  FleetState fleet = MakeFleet(6);
  for (int i = 0; i < 4; ++i) {
    const std::string name = "m" + std::to_string(i);
    fleet.released_members.push_back(
        {name, "inc-" + name, "d" + std::to_string(i % 3)});
    fleet = Without(std::move(fleet), name);
  }
  CHECK(PlanClaim(fleet, "key").history == ClaimHistory::kComplete);
}

}  // namespace
}  // namespace parsleyquay
