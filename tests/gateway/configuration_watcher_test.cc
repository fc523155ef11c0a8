// How an instance receives configuration changes when connections to the store
// fail.

#include "gateway/configuration_watcher.h"

#include <catch2/catch.hpp>
#include <memory>

#include "platform/platform_coordination_store.h"
#include "platform/platform_wire_protocol.h"
#include "support/store_stand_in.h"
#include "tcp_relay.h"

namespace parsleyquay {
namespace {

// The time in which a change must take effect.
constexpr Duration kInForce = seconds(2);
constexpr Duration kDigestInterval = milliseconds(250);

std::string Version(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"resources":[]})";
}

// One instance's configuration watcher, the store stand-in, and a TCP relay
// between the two.
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

  // Opens `count` connections that the client keeps alive, by concurrent reads.
  void OpenConnections(int count) {
    int done = 0;
    for (int i = 0; i < count; ++i) {
      this->context.coordination.members.read_all(
          {.timeout = seconds(5)},
          [&](const FeedReadResult<MemberChange>&) { ++done; });
    }
    REQUIRE(this->Await([&] { return done == count; }));
  }

  // Simulates the digests of a peer that has read everything published.
  void StartDigests() { this->digest_timer.StartRepeating(kDigestInterval); }

  bool AwaitVersion(std::uint64_t version, Duration timeout) {
    return this->Await(
        [&] { return this->context.configuration_version() == version; },
        timeout);
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
  Timer digest_timer{loop, [this] {
                       this->watcher.OnPeerFeedPosition({0, this->published});
                     }};
};

// Guards against a change that takes effect late because the reads of it are
// sent over one idle connection after the other that no longer delivers data.
TEST_CASE("a change takes effect in time although idle connections are dead") {
  WatcherFixture fixture;
  fixture.OpenConnections(4);
  fixture.relay->StallOpenConnections();
  fixture.Publish(2);
  fixture.StartDigests();
  CHECK(fixture.AwaitVersion(2, kInForce));
}

// Guards against a new aggregator that waits for its pending long poll to end:
// on a dead connection it would notice neither changes nor the failure.
TEST_CASE("a new aggregator does not wait for its pending read") {
  WatcherFixture fixture;
  fixture.OpenConnections(4);
  // Until the long poll has been sent.
  fixture.RunFor(milliseconds(100));
  fixture.relay->StallOpenConnections();
  fixture.watcher.SetFrequentReads(true);
  fixture.Publish(2);
  CHECK(fixture.AwaitVersion(2, kInForce));
}

// Guards against a flood of reads by instances whose reads the store rejects
// while their peers announce changes.
TEST_CASE("announcements of peers do not shorten the delays between retries") {
  constexpr int kMostReads = 8;  // 0.15, 0.3, 0.6 and then 0.9 s apart
  WatcherFixture fixture;
  fixture.RunFor(milliseconds(100));
  fixture.Control("down=all");
  fixture.Publish(2);  // ends the pending long poll
  REQUIRE(fixture.AwaitVersion(2, seconds(1)));
  fixture.Publish(3);
  const auto reads = [&] { return fixture.model.calls().at("/api/log-read"); };
  const int before = reads();
  fixture.StartDigests();
  fixture.RunFor(seconds(5));
  CHECK(reads() - before <= kMostReads);
  fixture.Control("up=all");
  CHECK(fixture.AwaitVersion(3, kInForce));
}

// Guards against reads of the store by an instance that has the changes from
// its aggregator, and against one that waits for it too long.
TEST_CASE("a paused watcher reads the store only if a peer does not tell it") {
  WatcherFixture fixture;
  fixture.RunFor(milliseconds(100));
  fixture.watcher.PauseReads();
  const auto reads = [&] { return fixture.model.calls().at("/api/log-read"); };
  const int before = reads();
  fixture.Publish(2);
  fixture.watcher.OnPeerFeedPosition({0, 2});
  REQUIRE(fixture.watcher.ApplyPeerState(
      {0, 2}, {FleetConfiguration{.version = 2}, DomainWithdrawal{"x"}}));
  CHECK(fixture.context.configuration_version() == 2);
  const std::vector<OperatorChange> withdrawal = {DomainWithdrawal{"x"}};
  CHECK((fixture.watcher.State(false) == withdrawal));
  fixture.RunFor(milliseconds(400));
  CHECK(reads() == before);
  fixture.Publish(3);
  fixture.watcher.OnPeerFeedPosition({0, 3});
  CHECK(fixture.AwaitVersion(3, kInForce));
  CHECK(reads() == before + 1);
}

// Guards against a configuration that is replaced by an older one.
TEST_CASE("a peer's state replaces neither a newer nor one of another era") {
  WatcherFixture fixture;
  fixture.Publish(5);
  REQUIRE(fixture.AwaitVersion(5, kInForce));
  const std::vector<OperatorChange> older = {FleetConfiguration{.version = 4}};
  CHECK_FALSE(fixture.watcher.ApplyPeerState({0, 2}, older));
  CHECK_FALSE(fixture.watcher.ApplyPeerState({1, 9}, older));
  CHECK(fixture.watcher.ApplyPeerState({0, 9}, older));
  CHECK(fixture.context.configuration_version() == 5);
  CHECK((fixture.watcher.State(true) ==
         std::vector<OperatorChange>{
             FleetConfiguration{fixture.context.routing->configuration()}}));
}

}  // namespace
}  // namespace parsleyquay
