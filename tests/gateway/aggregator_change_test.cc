// How soon a gateway and its peers learn of changes of the list of servers,
// also when the instance that reads the list for them fails.

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "base/rendezvous.h"
#include "dissemination/digest.h"
#include "peer/peer_transport.h"
#include "support/scripted_fixtures.h"

namespace parsleyquay {
namespace {

// A server that leaves must get no new requests after this time.
constexpr Duration kDrainBound = seconds(2);

// A member of the gateway's failure domain whose messages the test decides.
struct ScriptedMember {
  ScriptedMember(GatewayFixture& fixture, const std::string& name)
      : record({.name = name,
                .failure_domain = "x",
                .request_address = FreeAddress(),
                .peer_address = FreeAddress(),
                .incarnation = "i-" + name}),
        fixture(fixture),
        heartbeat_timer(fixture.loop, [this] { this->SendHeartbeat(); }) {
    RunOrReport(
        [&]() -> Result<void> {
          BOOST_LEAF_ASSIGN(
              this->transport,
              PeerTransport::Create(
                  fixture.loop, this->record.peer_address, fixture.secret,
                  {kDigestMethod, "heartbeat", "members_wanted",
                   "servers_wanted"},
                  [this](const std::string& method,
                         const Json::Value& parameters) {
                    this->has_been_asked |= method == "servers_wanted";
                    if (method == kDigestMethod) {
                      this->OnDigest(parameters);
                    }
                  }));
          return {};
        },
        [](const Error& error) { FAIL(ToString(error)); });
    fixture.members.Append({name, this->record});
  }

  void OnDigest(const Json::Value& parameters) {
    const TimePoint now = this->fixture.loop.Now();
    const auto digest = DecodeDigest(parameters, now);
    REQUIRE(digest);
    this->operator_position = digest->operator_position;
    this->full_lists += digest->has_full_server_list ? 1 : 0;
    for (const ServerChange& change : digest->server_changes) {
      const bool is_draining = change.listing && change.listing->is_draining;
      if (!change.listing || is_draining) {
        this->heard_to_leave.emplace(change.server, now);
      }
    }
  }

  // To be sent by a member that sends no digests.
  void SendHeartbeat() {
    this->transport->Send(
        this->fixture.settings.peer_address, "heartbeat",
        EncodeHeartbeat({{.record = this->record, .is_ready = true}}));
  }

  void Send(Digest digest) {
    digest.sender = this->record.name;
    this->transport->Send(this->fixture.settings.peer_address, kDigestMethod,
                          EncodeDigest(digest, this->fixture.loop.Now()));
  }

  MemberRecord record;
  GatewayFixture& fixture;
  std::unique_ptr<PeerTransport> transport;
  // When a digest first told that a server drains or is gone.
  std::map<std::string, TimePoint> heard_to_leave;
  FeedPosition operator_position;  // in the newest digest
  int full_lists = 0;              // received
  bool has_been_asked = false;     // for the list of servers
  Timer heartbeat_timer;
};

// Returns the name of a member that ranks before or behind the gateway as an
// aggregator.
std::string RankedName(const std::string& gateway, bool is_before) {
  for (int i = 0;; ++i) {
    const std::string name = "peer-" + std::to_string(i);
    const bool is_first =
        RankByRendezvous("aggregator", {gateway, name}).front() == name;
    if (is_first == is_before) {
      return name;
    }
  }
}

// A gateway with one server, and another member of its failure domain.
struct GatewayAndMember : OneServer {
  explicit GatewayAndMember(bool member_is_aggregator) : OneServer(Good()) {
    REQUIRE(this->Await([&] { return !this->secret.empty(); }));
    this->member = std::make_unique<ScriptedMember>(
        *this, RankedName(this->settings.name, member_is_aggregator));
  }

  // Returns how long after now the gateway takes a server out of use.
  Duration DrainAndMeasure() {
    const TimePoint began = this->loop.Now();
    this->ListServer("s-1", this->server.address(), true);
    while (this->loop.Now() - began < seconds(4)) {
      if (this->Send("GET", "/safe/1").status == 503) {
        break;
      }
    }
    return this->loop.Now() - began;
  }

  std::unique_ptr<ScriptedMember> member;
};

// Guards against requests to a server that began to drain just after the last
// digest of the instance that read the list of servers.
TEST_CASE("a drain is in force in time although the aggregator has failed") {
  GatewayAndMember fleet(true);
  // For the gateway to assume its role.
  for (int i = 0; i < 12; ++i) {
    fleet.RunFor(milliseconds(250));
    fleet.member->Send({.servers_from = {0, 1}, .servers_to = {0, 1}});
  }
  fleet.RunFor(milliseconds(5));
  // The others have to hear of it from the gateway, with one digest lost.
  constexpr Duration kForOthers = milliseconds(300);
  CHECK(fleet.DrainAndMeasure() < kDrainBound - kForOthers);
}

// Guards against a part of the time to take a server out of use that is spent
// on waiting for the next regular digest.
TEST_CASE("an aggregator sends at once that a server leaves") {
  GatewayAndMember fleet(false);
  fleet.member->heartbeat_timer.StartRepeating(seconds(1));
  fleet.RunFor(seconds(3));
  constexpr Duration kReadInterval = milliseconds(700);
  for (int i = 0; i < 5; ++i) {
    const std::string name = "s-" + std::to_string(10 + i);
    fleet.ListServer(name, fleet.server.address());
    fleet.RunFor(milliseconds(1'000 + i * 90));
    const TimePoint began = fleet.loop.Now();
    fleet.servers.Append({name, std::nullopt});
    REQUIRE(fleet.Await(
        [&] { return fleet.member->heard_to_leave.contains(name); }));
    CHECK(fleet.loop.Now() - began < kReadInterval + milliseconds(60));
  }
}

// Guards against a configuration that others learn of only by the next regular
// digest, up to half a second later in a fleet without requests.
TEST_CASE("an aggregator announces a configuration at once") {
  GatewayAndMember fleet(false);
  fleet.member->heartbeat_timer.StartRepeating(seconds(1));
  fleet.RunFor(seconds(3));
  for (std::uint64_t version = 2; version < 8; ++version) {
    fleet.RunFor(milliseconds(310));
    const FeedPosition before = fleet.member->operator_position;
    fleet.Configure(version);
    CHECK(fleet.Await([&] { return fleet.member->operator_position > before; },
                      milliseconds(80)));
  }
}

// Guards against an instance that never learns of a change because it has
// missed a digest while the store turns it away.
TEST_CASE("a gateway without the store asks a peer for the list of servers") {
  GatewayAndMember fleet(true);
  fleet.RunFor(seconds(2));
  fleet.member->Send({.servers_from = {0, 1}, .servers_to = {0, 1}});
  fleet.servers.SetAvailable(false);
  fleet.RunFor(milliseconds(1'500));
  REQUIRE_FALSE(fleet.member->has_been_asked);
  fleet.member->Send({.servers_from = {0, 4}, .servers_to = {0, 5}});
  CHECK(fleet.Await([&] { return fleet.member->has_been_asked; }, seconds(1)));
}

TEST_CASE("a gateway sends the list of servers to a peer that asks for it") {
  GatewayAndMember fleet(false);
  fleet.member->heartbeat_timer.StartRepeating(seconds(1));
  fleet.RunFor(seconds(3));
  const int before = fleet.member->full_lists;
  fleet.member->transport->Send(
      fleet.settings.peer_address, "servers_wanted",
      EncodeServerListRequest({fleet.member->record.name}));
  CHECK(fleet.Await([&] { return fleet.member->full_lists > before; },
                    seconds(1)));
}

}  // namespace
}  // namespace parsleyquay
