// What becomes of the configuration when the log drops records that no
// majority of the instances has read.

#include <catch2/catch.hpp>

#include "experiment/test_fleet.h"
#include "operations/publisher.h"
#include "support/five_instances.h"

namespace parsleyquay {
namespace {

constexpr int kInstances = 5;
// A gap is bridged once instances that read the records had time to help.
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

std::size_t CountHolders(TestFleet& fleet, std::uint64_t offset) {
  return QueryRolloutProgress(fleet.http(), fleet.ReadState(), offset).applied;
}

TEST_CASE("a record dropped before anyone read it holds nothing up") {
  TestFleet fleet(FiveInstances());
  REQUIRE(fleet.Start());
  ControlLogLinks(fleet, "log_cut", kInstances);
  fleet.RunFor(seconds(1));  // Reads that were under way are over.
  const auto dropped = fleet.PublishBody(AddWorkspace("dropped"));
  REQUIRE(dropped);
  const auto kept = fleet.PublishBody(AddWorkspace("kept"));
  REQUIRE(kept);
  fleet.SetPlatformFault("keep=1");
  ControlLogLinks(fleet, "log_heal", kInstances);
  // Two workspaces from the start, and the one that the log kept.
  const bool has_recovered = fleet.WaitFor(
      [&] {
        CHECK(fleet.Send(0, "GET", "/work/main/k", "alpha").status == 200);
        return HaveWorkspaces(fleet, 3);
      },
      kBridgeLimit);
  REQUIRE(has_recovered);
  CHECK(CountHolders(fleet, *dropped) == 0);
  CHECK(CountHolders(fleet, *kept) == kInstances);
  REQUIRE(fleet.PublishBody(AddWorkspace("later")));
  CHECK(fleet.WaitFor([&] { return HaveWorkspaces(fleet, 4); }, kInForceLimit));
}

TEST_CASE("what a minority read before the log dropped it comes back") {
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
      kInForceLimit));
  fleet.IsolateInstance(kReader);
  REQUIRE(fleet.PublishBody(AddWorkspace("kept")));
  fleet.SetPlatformFault("keep=1");
  ControlLogLinks(fleet, "log_heal", kReader);
  REQUIRE(
      fleet.WaitFor([&] { return fleet.Status(0)["workspaces"].asInt() == 3; },
                    kBridgeLimit));
  // The one that went on alone joins the others and brings back what it read.
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
