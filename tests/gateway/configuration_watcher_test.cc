// How an instance keeps up with the operators' configuration over connections
// to the store that fail.

#include "gateway/configuration_watcher.h"

#include <catch2/catch.hpp>
#include <memory>

#include "platform/platform_coordination_store.h"
#include "platform/platform_wire_protocol.h"
#include "support/store_stand_in.h"
#include "tcp_relay.h"

namespace parsleyquay {
namespace {

constexpr Duration kInForce = seconds(2);  // the bound for a change
constexpr Duration kDigestInterval = milliseconds(250);

std::string Version(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"resources":[]})";
}

// One instance's desk, the store stand-in, and a relay between the two.
struct WatcherFixture : StoreStandIn {
  WatcherFixture() {
    RunOrReport(
        [&]() -> Result<void> {
          BOOST_LEAF_ASSIGN(
              this->relay,
              TcpRelay::Create(this->loop, this->relay_address, this->address));
          return {};
        },
        [](const Error& error) { FAIL(ToString(error)); });
    this->Publish(1);
    this->watcher.Start();
    REQUIRE(this->AwaitVersion(1, seconds(5)));
  }

  void Publish(int version) {
    this->Control("put=keyed.op&key=config", Version(version));
    ++this->published;
  }

  // Reads that run at the same time leave as many kept connections behind.
  void KeepConnections(int count) {
    int done = 0;
    for (int i = 0; i < count; ++i) {
      this->context.coordination.members.read_all(
          {.timeout = seconds(5)},
          [&](const FeedReadResult<MemberChange>&) { ++done; });
    }
    REQUIRE(this->Await([&] { return done == count; }));
  }

  // Digests of a peer that has read all that was published.
  void HearDigests() { this->digest_timer.StartRepeating(kDigestInterval); }

  bool AwaitVersion(std::uint64_t version, Duration patience) {
    return this->Await(
        [&] { return this->context.configuration_version() == version; },
        patience);
  }

  HttpClient store_client{loop};
  std::string relay_address = FreeAddress();
  std::unique_ptr<TcpRelay> relay;
  std::uint64_t published = 0;
  GatewayContext context{
      loop, GatewaySettings{}, store_client,
      platform::MakePlatformCoordinationStore(
          std::make_shared<platform::StoreClient>(store_client, relay_address),
          12),
      platform::MakePlatformWireProtocol()};
  ConfigurationWatcher watcher{context, [] {},
                               [](const std::set<std::string>&) {}};
  Timer digest_timer{
      loop, [this] { this->watcher.OnPeerFeedPosition(this->published); }};
};

// Guards against a change that comes into force late, since the read of it is
// sent on one kept connection after the other that has gone silent.
TEST_CASE("a change is in force in time although kept connections are silent") {
  WatcherFixture fixture;
  fixture.KeepConnections(4);
  fixture.relay->StallOpenConnections();
  fixture.Publish(2);
  fixture.HearDigests();
  CHECK(fixture.AwaitVersion(2, kInForce));
}

// Guards against a role that begins late: until its waiting read ends, who
// becomes an aggregator would notice no change and no silence.
TEST_CASE("who is to watch for others does not wait for its last read") {
  WatcherFixture fixture;
  fixture.KeepConnections(4);
  // Until the read that waits is under way.
  fixture.RunFor(milliseconds(100));
  fixture.relay->StallOpenConnections();
  fixture.watcher.SetFrequentReads(true);
  fixture.Publish(2);
  CHECK(fixture.AwaitVersion(2, kInForce));
}

// Guards against a flood of calls by instances that the store turns away while
// their peers tell them of changes.
TEST_CASE("who is turned away asks no more often for being told") {
  constexpr int kMostReads = 8;  // 0.15, 0.3, 0.6 and then 0.9 s apart
  WatcherFixture fixture;
  fixture.RunFor(milliseconds(100));
  fixture.Control("down=all");
  fixture.Publish(2);  // ends the read that waits
  REQUIRE(fixture.AwaitVersion(2, seconds(1)));
  fixture.Publish(3);
  const auto reads = [&] { return fixture.model.calls().at("/api/log-read"); };
  const int before = reads();
  fixture.HearDigests();
  fixture.RunFor(seconds(5));
  CHECK(reads() - before <= kMostReads);
  fixture.Control("up=all");
  CHECK(fixture.AwaitVersion(3, kInForce));
}

}  // namespace
}  // namespace parsleyquay
