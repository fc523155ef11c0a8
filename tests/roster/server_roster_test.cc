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

const ServerChange gone_change = {"s1", std::nullopt};

TEST_CASE("a heartbeat changes nothing and an older one is overtaken") {
  ServerRoster roster;
  CHECK(ApplyServerChange(roster, Listed(5, 1), kStart) == RosterEvent::kAdded);
  CHECK(ApplyServerChange(roster, Listed(5, 2), kStart) == RosterEvent::kNone);
  CHECK(ApplyServerChange(roster, Listed(5, 3, true), kStart) ==
        RosterEvent::kDraining);
  CHECK(ApplyServerChange(roster, Listed(5, 2), kStart) == RosterEvent::kStale);
  CHECK_FALSE(MayReceiveRequests(roster, roster.servers.at("s1")));
}

TEST_CASE("a new life under the same name begins anew") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 90, true), kStart);
  CHECK(ApplyServerChange(roster, Listed(6, 1), kStart) ==
        RosterEvent::kRestarted);
  CHECK(MayReceiveRequests(roster, roster.servers.at("s1")));
}

TEST_CASE("a server that has left is not brought back by an old entry") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  CHECK(ApplyServerChange(roster, gone_change, kStart) ==
        RosterEvent::kRemoved);
  CHECK(ApplyServerChange(roster, Listed(5, 8), kStart) == RosterEvent::kStale);
  CHECK(roster.servers.empty());
  CHECK(ApplyServerChange(roster, Listed(5, 10), kStart) ==
        RosterEvent::kAdded);
}

TEST_CASE("an entry that lapsed in an outage is used until it counts as gone") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  StartLapseGracePeriod(roster, kStart);
  CHECK(ApplyServerChange(roster, gone_change, kStart + milliseconds(100)) ==
        RosterEvent::kLapsed);
  CHECK(MayReceiveRequests(roster, roster.servers.at("s1")));
  CHECK(NextLapseExpiry(roster) == kStart + kLapseGracePeriod);
  SECTION("and stays when it is written again") {
    ApplyServerChange(roster, Listed(5, 10), kStart + seconds(1));
    CHECK_FALSE(NextLapseExpiry(roster));
    CHECK(RemoveExpiredServers(roster, kStart + seconds(9)).empty());
  }
  SECTION("and goes when it is not") {
    CHECK(RemoveExpiredServers(roster, kStart + seconds(1)).empty());
    CHECK(RemoveExpiredServers(roster, kStart + kLapseGracePeriod).size() == 1);
    CHECK(roster.servers.empty());
  }
}

TEST_CASE("a draining server that vanishes in an outage is gone at once") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9, true), kStart);
  StartLapseGracePeriod(roster, kStart);
  CHECK(ApplyServerChange(roster, gone_change, kStart) ==
        RosterEvent::kRemoved);
}

TEST_CASE("a whole list removes what it does not name") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  const auto changes = ChangesFromFullList(roster, {});
  REQUIRE(changes.size() == 1);
  CHECK(changes[0] == gone_change);
}

TEST_CASE("a withdrawn failure domain gets no work") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9), kStart);
  roster.withdrawn_domains = {"a"};
  CHECK_FALSE(MayReceiveRequests(roster, roster.servers.at("s1")));
}

// Whoever reads the list passes on only what is news.
TEST_CASE("a server that is ready again, or has more slots, is news") {
  ServerRoster roster;
  ApplyServerChange(roster, Listed(5, 9, true), kStart);
  CHECK(ApplyServerChange(roster, Listed(5, 10), kStart) ==
        RosterEvent::kChanged);
  CHECK(MayReceiveRequests(roster, roster.servers.at("s1")));
  ServerChange larger = Listed(5, 11);
  larger.listing->slots += 2;
  CHECK(ApplyServerChange(roster, larger, kStart) == RosterEvent::kChanged);
}

TEST_CASE("a server that turns cold again is news") {
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
