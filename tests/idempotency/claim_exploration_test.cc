// Guards at-most-once execution: explores all interleavings of two requests
// with the same key. Messages to the key's two owners arrive in any order,
// replies may be lost, and the requesting instances may give up or stop at any
// step.

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

// One request that claims the key at each owner in turn and then runs.
struct Requester {
  std::string id;
  int owners_recorded = 0;
  bool has_aborted = false;
  bool has_run = false;
  auto operator<=>(const Requester&) const = default;
};

struct ModelState {
  std::array<std::set<std::pair<std::string, std::string>>, kOwners> ledgers;
  std::array<Requester, 2> requesters = {Requester{"a"}, Requester{"b"}};
  auto operator<=>(const ModelState&) const = default;
};

ClaimTable ToTable(const ModelState& state, int owner) {
  ClaimTable table;
  for (const auto& [key, id] : state.ledgers[static_cast<std::size_t>(owner)]) {
    table.claims[key] = {id, ClaimState::kRunning, {}, kNow};
  }
  return table;
}

void StoreTable(ModelState& state, int owner, const ClaimTable& table) {
  auto& stored = state.ledgers[static_cast<std::size_t>(owner)];
  stored.clear();
  for (const auto& [key, claim] : table.claims) {
    stored.insert({key, claim.request_id});
  }
}

enum class StepOutcome { kDelivered, kReplyLost, kAbandoned };

// Performs the next step of a requester. `order` is the order in which its view
// lists the owners.
ModelState Step(ModelState state,
                int requester_index,
                StepOutcome outcome,
                const std::array<int, 2>& order) {
  Requester& requester =
      state.requesters[static_cast<std::size_t>(requester_index)];
  if (requester.owners_recorded == kOwners) {
    requester.has_run = true;
    return state;
  }
  if (outcome == StepOutcome::kAbandoned) {
    requester.has_aborted = true;
    for (int owner = 0; owner < kOwners; ++owner) {
      StoreTable(state, owner,
                 AbandonClaim(ToTable(state, owner), "key", requester.id));
    }
    return state;
  }
  const int owner = order[static_cast<std::size_t>(requester.owners_recorded)];
  ClaimAttempt attempt =
      RecordClaim(ToTable(state, owner), "key", requester.id, kNow);
  StoreTable(state, owner, attempt.table);
  if (outcome == StepOutcome::kReplyLost) {
    return state;  // The claim is recorded; the requester will retry.
  }
  if (attempt.status == ClaimStatus::kRecorded) {
    ++requester.owners_recorded;
  } else {
    requester.has_aborted = true;
  }
  return state;
}

std::size_t Explore(const ModelState& state,
                    const std::array<std::array<int, 2>, 2>& orders,
                    std::set<ModelState>& seen,
                    const std::string& trace) {
  if (!seen.insert(state).second) {
    return 0;
  }
  CAPTURE(trace);
  REQUIRE_FALSE((state.requesters[0].has_run && state.requesters[1].has_run));
  std::size_t states = 1;
  for (int requester_index = 0; requester_index < 2; ++requester_index) {
    const Requester& requester =
        state.requesters[static_cast<std::size_t>(requester_index)];
    if (requester.has_run || requester.has_aborted) {
      continue;
    }
    for (const StepOutcome outcome :
         {StepOutcome::kDelivered, StepOutcome::kReplyLost,
          StepOutcome::kAbandoned}) {
      const bool is_claimed = requester.owners_recorded == kOwners;
      if (is_claimed && outcome != StepOutcome::kDelivered) {
        continue;
      }
      std::ostringstream next;
      next << trace << ' ' << requester.id << ':' << static_cast<int>(outcome);
      states += Explore(Step(state, requester_index, outcome,
                             orders[static_cast<std::size_t>(requester_index)]),
                        orders, seen, next.str());
    }
  }
  return states;
}

TEST_CASE("in no interleaving do two requests with one key both run") {
  constexpr std::array<int, 2> kForward = {0, 1};
  constexpr std::array<int, 2> kBackward = {1, 0};
  for (const auto& second : {kForward, kBackward}) {
    std::set<ModelState> seen;
    CHECK(Explore(ModelState{}, {kForward, second}, seen, "") > 20);
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

// Replaces the view by one without the member, as a departure record would.
FleetState Without(FleetState fleet, const std::string& name) {
  fleet.past_views.push_back(
      {fleet.view.version, 0, ToPastMembers(fleet.view)});
  fleet.view.members.erase(name);
  ++fleet.view.version;
  return fleet;
}

TEST_CASE("after the loss of one owner, the other one is still asked") {
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
      const std::string& remaining_owner =
          before.owners[0] == lost ? before.owners[1] : before.owners[0];
      CHECK(asked.contains(remaining_owner));
    }
  }
}

TEST_CASE("the loss of both owners of a key is detected") {
  const FleetState fleet = MakeFleet(9);
  const ClaimPlan plan = PlanClaim(fleet, "key");
  const FleetState after =
      Without(Without(fleet, plan.owners[0]), plan.owners[1]);
  CHECK(PlanClaim(after, "key").history == ClaimHistory::kLost);
}

TEST_CASE("the release of members one after the other loses no claims") {
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
