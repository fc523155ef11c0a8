#include "roster/server_roster.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));

ServerChange Listed(std::uint64_t incarnation,
                    std::uint64_t sequence,
                    bool is_draining = false) {
  return {"s1", ServerListing{.service = "lookup",
                              .address = "127.0.0.1:1",
                              .failure_domain = "a",
                              .is_draining = is_draining,
                              .incarnation = incarnation,
                              .sequence = sequence}};
}

const ServerChange removal = {"s1", std::nullopt};

TEST_CASE("a renewed listing changes nothing and an older one is ignored") {
  ServerRoster roster;
  CHECK(ApplyServerChange(roster, Listed(5, 1), kStart) == RosterEvent::kAdded);
  CHECK(ApplyServerChange(roster, Listed(5, 2), kStart) == RosterEvent::kNone);
  CHECK(ApplyServerChange(roster, Listed(5, 3, true), kStart) ==
        RosterEvent::kDraining);
  CHECK(ApplyServerChange(roster, Listed(5, 2), kStart) == RosterEvent::kStale);
  CHECK_FALSE(MayReceiveRequests(roster, roster.servers.at("s1")));
}

TEST_CASE("a new incarnation replaces the earlier one of the same name") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 90, true), kStart);
  CHECK(ApplyServerChange(roster, Listed(6, 1), kStart) ==
        RosterEvent::kRestarted);
  CHECK(MayReceiveRequests(roster, roster.servers.at("s1")));
}

TEST_CASE("an old listing does not add a removed server again") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  CHECK(ApplyServerChange(roster, removal, kStart) == RosterEvent::kRemoved);
  CHECK(ApplyServerChange(roster, Listed(5, 8), kStart) == RosterEvent::kStale);
  CHECK(roster.servers.empty());
  CHECK(ApplyServerChange(roster, Listed(5, 10), kStart) ==
        RosterEvent::kAdded);
}

TEST_CASE("a server that vanishes after an outage is kept for a grace period") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  StartLapseGracePeriod(roster, kMinLapseOutage, kStart);
  CHECK(ApplyServerChange(roster, removal, kStart + milliseconds(100)) ==
        RosterEvent::kLapsed);
  CHECK(MayReceiveRequests(roster, roster.servers.at("s1")));
  CHECK(NextLapseExpiry(roster) == kStart + kLapseGracePeriod);
  SECTION("and stays if it is listed again") {
    // Otherwise the peers, which were told that it has vanished, drop it.
    SECTION("by a new listing") {
      CHECK(ApplyServerChange(roster, Listed(5, 10), kStart + seconds(1)) ==
            RosterEvent::kRelisted);
    }
    SECTION("by the same one") {
      CHECK(ApplyServerChange(roster, Listed(5, 9), kStart + seconds(1)) ==
            RosterEvent::kRelisted);
    }
    CHECK_FALSE(NextLapseExpiry(roster));
    CHECK(RemoveExpiredServers(roster, kStart + seconds(9)).empty());
  }
  SECTION("and is removed if it is not listed again") {
    CHECK(RemoveExpiredServers(roster, kStart + seconds(1)).empty());
    CHECK(RemoveExpiredServers(roster, kStart + kLapseGracePeriod).size() == 1);
    CHECK(roster.servers.empty());
  }
}

// Guards against requests to a server that has left, from an instance for which
// a single read of the list has failed shortly before.
TEST_CASE("a server that vanishes after one failed read is removed at once") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  StartLapseGracePeriod(roster, milliseconds(1'300), kStart);
  CHECK(ApplyServerChange(roster, removal, kStart) == RosterEvent::kRemoved);
}

TEST_CASE(
    "a draining server that vanishes after an outage is removed at once") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9, true), kStart);
  StartLapseGracePeriod(roster, kMinLapseOutage, kStart);
  CHECK(ApplyServerChange(roster, removal, kStart) == RosterEvent::kRemoved);
}

TEST_CASE("a leaving server gets no requests until it is a new incarnation") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  CHECK_FALSE(SetLeaving(roster, "s1", "127.0.0.1:2"));
  CHECK(MayReceiveRequests(roster, roster.servers.at("s1")));
  CHECK(SetLeaving(roster, "s1", "127.0.0.1:1"));
  CHECK_FALSE(SetLeaving(roster, "s1", "127.0.0.1:1"));
  CHECK_FALSE(SetLeaving(roster, "unknown", "127.0.0.1:1"));
  ApplyServerChange(roster, Listed(5, 10), kStart + seconds(1));
  CHECK_FALSE(MayReceiveRequests(roster, roster.servers.at("s1")));
  ApplyServerChange(roster, Listed(6, 1), kStart + seconds(2));
  CHECK(MayReceiveRequests(roster, roster.servers.at("s1")));
}

TEST_CASE("a full list removes the servers that it does not contain") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  const auto changes = ChangesFromFullList(roster, {});
  REQUIRE(changes.size() == 1);
  CHECK(changes[0] == removal);
}

TEST_CASE("a server in a withdrawn failure domain receives no requests") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  roster.withdrawn_domains = {"a"};
  CHECK_FALSE(MayReceiveRequests(roster, roster.servers.at("s1")));
}

// The instance that reads the list forwards only listings whose event is not
// kNone to the others.
TEST_CASE("the end of draining or more slots count as a change") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9, true), kStart);
  CHECK(ApplyServerChange(roster, Listed(5, 10), kStart) ==
        RosterEvent::kChanged);
  CHECK(MayReceiveRequests(roster, roster.servers.at("s1")));
  ServerChange larger = Listed(5, 11);
  larger.listing->slots += 2;
  CHECK(ApplyServerChange(roster, larger, kStart) == RosterEvent::kChanged);
}

TEST_CASE("a server that becomes cold again counts as a change") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  ServerChange cold = Listed(5, 10);
  cold.listing->cold_remaining = seconds(3);
  CHECK(ApplyServerChange(roster, cold, kStart) == RosterEvent::kTurnedCold);
  CHECK(roster.servers.at("s1").cold_until == kStart + seconds(3));
  cold.listing->sequence = 11;
  cold.listing->cold_remaining = milliseconds(1'500);
  CHECK(ApplyServerChange(roster, cold, kStart + milliseconds(1'500)) ==
        RosterEvent::kNone);
}

}  // namespace
}  // namespace parsleyquay
