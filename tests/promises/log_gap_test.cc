// Tests the configuration after the log has dropped records that only a
// minority of the instances, or none, has read.

#include <catch2/catch.hpp>

#include "experiment/test_fleet.h"
#include "operations/publisher.h"
#include "support/five_instances.h"

namespace parsleyquay {
namespace {

constexpr int kInstances = 5;
// LogGapRecovery skips a gap in the log only after instances that have read the
// missing records had time to provide them.
constexpr Duration kBridgeLimit = seconds(15);

void ControlLogLinks(TestFleet& fleet, const std::string& action, int count) {
  for (int i = 0; i < count; ++i) {
    fleet.SetLinkFault(action + "=" + std::to_string(i));
  }
}

bool HaveWorkspaces(TestFleet& fleet, int count) {
  for (int i = 0; i < kInstances; ++i) {
    if (fleet.Status(i)["workspaces"].asInt() != count) {
      return false;
    }
  }
  return true;
}

// Returns how many instances have applied the record at the offset.
std::size_t CountAppliedBy(TestFleet& fleet, std::uint64_t offset) {
  return QueryRolloutProgress(fleet.http(), fleet.ReadState(), offset).applied;
}

TEST_CASE("a record dropped before any instance read it blocks nothing") {
  TestFleet fleet(FiveInstances());
  REQUIRE(fleet.Start());
  ControlLogLinks(fleet, "log_cut", kInstances);
  fleet.RunFor(seconds(1));  // pending reads have ended by then
  const auto dropped = fleet.PublishBody(AddWorkspace("dropped"));
  REQUIRE(dropped);
  const auto kept = fleet.PublishBody(AddWorkspace("kept"));
  REQUIRE(kept);
  fleet.SetPlatformFault("keep=1");
  ControlLogLinks(fleet, "log_heal", kInstances);
  // The two initial workspaces and the one whose record the log has kept.
  const bool has_recovered = fleet.WaitFor(
      [&] {
        CHECK(fleet.Send(0, "GET", "/work/main/k", "alpha").status == 200);
        return HaveWorkspaces(fleet, 3);
      },
      kBridgeLimit);
  REQUIRE(has_recovered);
  CHECK(CountAppliedBy(fleet, *dropped) == 0);
  CHECK(CountAppliedBy(fleet, *kept) == kInstances);
  REQUIRE(fleet.PublishBody(AddWorkspace("later")));
  CHECK(
      fleet.WaitFor([&] { return HaveWorkspaces(fleet, 4); }, kApplyTimeLimit));
}

TEST_CASE("a record that a minority read before it was dropped is restored") {
  TestFleet fleet(FiveInstances());
  REQUIRE(fleet.Start());
  constexpr int kReader = kInstances - 1;
  fleet.SetLinkFault("cut=" + std::to_string(kReader) + ":*");
  fleet.SetLinkFault("cut=*:" + std::to_string(kReader));
  ControlLogLinks(fleet, "log_cut", kReader);
  fleet.RunFor(seconds(1));
  REQUIRE(fleet.PublishBody(AddWorkspace("read-by-one")));
  REQUIRE(fleet.WaitFor(
      [&] { return fleet.Status(kReader)["workspaces"].asInt() == 3; },
      kApplyTimeLimit));
  fleet.IsolateInstance(kReader);
  REQUIRE(fleet.PublishBody(AddWorkspace("kept")));
  fleet.SetPlatformFault("keep=1");
  ControlLogLinks(fleet, "log_heal", kReader);
  REQUIRE(
      fleet.WaitFor([&] { return fleet.Status(0)["workspaces"].asInt() == 3; },
                    kBridgeLimit));
  // The isolated instance joins the others and restores the record it has read.
  fleet.HealInstance(kReader);
  CHECK(fleet.WaitFor([&] { return HaveWorkspaces(fleet, 4); }, kBridgeLimit));
  CHECK(fleet.WaitFor(
      [&] {
        const Json::Value status = fleet.Status(kReader);
        return status["is_current"].asBool() && status["is_member"].asBool();
      },
      kBridgeLimit));
}

}  // namespace
}  // namespace parsleyquay
