// Several instances' lists of backend servers, kept up to date by digests.

#include "gateway/server_discovery.h"

#include <catch2/catch.hpp>

#include "platform/platform_wire_protocol.h"
#include "support/await.h"
#include "support/gateway_fixture.h"

namespace parsleyquay {
namespace {

// One instance, which reads the list of servers from a store of its own, so
// that a test can make that store unavailable to it.
struct Instance {
  explicit Instance(EventLoop& loop) : feed(loop), http(loop) {
    CoordinationStore coordination;
    coordination.servers = this->feed.feed();
    this->context = std::make_unique<GatewayContext>(
        loop, GatewaySettings(), this->http, std::move(coordination),
        platform::MakePlatformWireProtocol());
    this->discovery = std::make_unique<ServerDiscovery>(
        *this->context,
        ServerDiscovery::Handlers{
            .on_new_incarnation = [](const std::string&) {},
            .on_news = [] {},
            .on_gap =
                [this](const std::string& peer) { this->asked_peer = peer; },
            .on_read = [](bool) {}});
  }

  bool Lists(const std::string& server) const {
    return this->discovery->roster().servers.contains(server);
  }

  std::string asked_peer;  // for the full list
  FakeFeed<ServerChange> feed;
  HttpClient http;
  std::unique_ptr<GatewayContext> context;
  std::unique_ptr<ServerDiscovery> discovery;
};

ServerChange Listed(const std::string& server) {
  return {server, ServerListing{.service = "work",
                                .address = "127.0.0.1:1",
                                .failure_domain = "x",
                                .slots = 3,
                                .incarnation = 1,
                                .sequence = 1}};
}

struct TwoInstances {
  TwoInstances() {
    this->peer.feed.Append(Listed("s-stays"));
    this->peer.feed.Append(Listed("s-leaves"));
    this->peer.discovery->Start();
    REQUIRE(this->AwaitLoaded(this->peer));
    this->peer.feed.SetAvailable(false);
  }

  // Starts the reader, whose snapshot of the list holds these servers.
  void StartReader(std::initializer_list<const char*> servers) {
    for (const char* server : servers) {
      this->reader.feed.Append(Listed(server));
    }
    this->reader.discovery->Start();
    REQUIRE(this->AwaitLoaded(this->reader));
  }

  bool AwaitLoaded(Instance& instance) {
    return RunLoopUntil(
        this->loop, [&] { return instance.discovery->has_been_loaded(); },
        seconds(2));
  }

  void SendDigest() {
    Digest digest{.sender = "reader"};
    this->reader.discovery->AddChangesToDigest(digest);
    const auto received =
        DecodeDigest(EncodeDigest(digest, this->loop.Now()), this->loop.Now());
    REQUIRE(received);
    this->peer.discovery->ApplyDigest(*received);
  }

  EventLoop loop;
  Instance reader{loop};
  Instance peer{loop};
};

// Guards against requests to a server that has left, from instances that heard
// of the list only from an instance that restarted after the removal.
TEST_CASE("peers learn of a removal before the restart of the list's reader") {
  TwoInstances fleet;
  // A snapshot of the list has no entry for a server that was removed.
  fleet.StartReader({"s-stays", "s-new", "s-other"});
  fleet.SendDigest();
  CHECK_FALSE(fleet.peer.Lists("s-leaves"));
  CHECK(fleet.peer.Lists("s-stays"));
  CHECK(fleet.peer.Lists("s-new"));
}

TEST_CASE("after the full list, digests contain only changes") {
  TwoInstances fleet;
  fleet.StartReader({"s-stays", "s-leaves", "s-new"});
  fleet.SendDigest();
  fleet.reader.feed.Append({"s-leaves", std::nullopt});
  REQUIRE(RunLoopUntil(
      fleet.loop, [&] { return !fleet.reader.Lists("s-leaves"); }, seconds(2)));
  Digest digest{.sender = "reader"};
  fleet.reader.discovery->AddChangesToDigest(digest);
  CHECK_FALSE(digest.has_full_server_list);
  CHECK(digest.server_changes ==
        std::vector<ServerChange>{{"s-leaves", std::nullopt}});
  fleet.peer.discovery->ApplyDigest(digest);
  CHECK_FALSE(fleet.peer.Lists("s-leaves"));
}

// Guards against requests to a server that was listed only between two reads of
// the list's reader, from instances that had read its listing themselves.
TEST_CASE("peers learn of the removal of a server that the reader never had") {
  TwoInstances fleet;
  fleet.StartReader({"s-stays", "s-leaves"});
  fleet.SendDigest();
  fleet.peer.feed.SetAvailable(true);
  fleet.peer.feed.Append(Listed("s-short"));
  REQUIRE(RunLoopUntil(
      fleet.loop, [&] { return fleet.peer.Lists("s-short"); }, seconds(5)));
  fleet.peer.feed.SetAvailable(false);
  // The store keeps only the newest record of each server.
  const FeedPosition before = fleet.reader.discovery->position();
  fleet.reader.feed.Append({"s-short", std::nullopt});
  fleet.reader.feed.Append({"s-short", std::nullopt});
  REQUIRE(RunLoopUntil(
      fleet.loop, [&] { return fleet.reader.discovery->position() > before; },
      seconds(2)));
  fleet.SendDigest();
  CHECK_FALSE(fleet.peer.Lists("s-short"));
}

TEST_CASE("a full list that is older than the known one changes nothing") {
  TwoInstances fleet;
  Digest digest{.sender = "reader",
                .servers_from = {0, 1},
                .servers_to = {0, 1},
                .has_full_server_list = true};
  fleet.peer.discovery->ApplyDigest(digest);
  CHECK(fleet.peer.Lists("s-stays"));
}

// An instance that reads the list, and one that has it from the digests of the
// first. The list in the stores of both is the same.
struct ReaderAndMember {
  ReaderAndMember() {
    for (Instance* instance : {&this->reader, &this->member}) {
      instance->feed.Append(Listed("s-stays"));
      instance->feed.Append(Listed("s-leaves"));
      instance->discovery->Start();
    }
    REQUIRE(RunLoopUntil(
        this->loop,
        [&] {
          return this->reader.discovery->has_been_loaded() &&
                 this->member.discovery->has_been_loaded();
        },
        seconds(2)));
    this->reader.discovery->SetSource(ServerListSource::kStore);
    this->member.discovery->SetSource(ServerListSource::kPeers);
    this->digest_timer.StartRepeating(milliseconds(250));
    this->RunFor(milliseconds(1'500));
  }

  void SendDigest() {
    Digest digest{.sender = "reader"};
    this->reader.discovery->AddChangesToDigest(digest);
    const auto received =
        DecodeDigest(EncodeDigest(digest, this->loop.Now()), this->loop.Now());
    REQUIRE(received);
    this->member.discovery->ApplyDigest(*received);
  }

  void RunFor(Duration duration) {
    RunLoopUntil(
        this->loop, [] { return false; }, duration);
  }

  // Removes a server from the list. Returns the time until the member no longer
  // has it, or ten seconds if that takes longer.
  Duration RemoveAndMeasure() {
    const TimePoint began = this->loop.Now();
    const ServerChange removal = {"s-leaves", std::nullopt};
    this->reader.feed.Append(removal);
    this->member.feed.Append(removal);
    RunLoopUntil(
        this->loop, [&] { return !this->member.Lists("s-leaves"); },
        seconds(10));
    return this->loop.Now() - began;
  }

  EventLoop loop;
  Instance reader{loop};
  Instance member{loop};
  Timer digest_timer{loop, [this] { this->SendDigest(); }};
};

// A server that leaves must get no new requests after this time. A part of it
// is left for the request itself.
constexpr Duration kRemovalBound = milliseconds(1'900);

// Guards against a store that is read by every instance in a healthy fleet.
TEST_CASE("an instance that gets digests does not read the list itself") {
  ReaderAndMember fleet;
  const std::uint64_t before = fleet.member.feed.sent_reads();
  fleet.RunFor(seconds(3));
  CHECK(fleet.member.feed.sent_reads() == before);
}

// Guards against an instance that keeps a list which nobody has read for a long
// time: its aggregator has failed just after a digest.
TEST_CASE("an instance that gets no digests reads the list itself") {
  ReaderAndMember fleet;
  fleet.SendDigest();
  fleet.digest_timer.Stop();
  SECTION("at the first try") {}
  SECTION("at the second try, since its first read gets no response") {
    fleet.member.feed.SilenceReads(1);
  }
  CHECK(fleet.RemoveAndMeasure() < kRemovalBound);
}

// Guards against a store that every instance reads when it has just returned
// with older data, and against the loss of servers that it lacks.
TEST_CASE("an instance has the list of a new era from digests") {
  ReaderAndMember fleet;
  const std::uint64_t before = fleet.member.feed.sent_reads();
  for (Instance* instance : {&fleet.reader, &fleet.member}) {
    instance->feed.ReturnWith({Listed("s-stays")});
  }
  fleet.RunFor(milliseconds(1'500));
  CHECK(fleet.member.discovery->position() == FeedPosition{1, 1});
  CHECK(fleet.member.Lists("s-stays"));
  CHECK(fleet.member.Lists("s-leaves"));
  fleet.RunFor(kLapseGracePeriod);
  CHECK(fleet.member.Lists("s-stays"));
  CHECK_FALSE(fleet.member.Lists("s-leaves"));
  CHECK_FALSE(fleet.reader.Lists("s-leaves"));
  CHECK(fleet.member.feed.sent_reads() == before);
}

// Guards against a server that the others drop although it is alive: it writes
// its listing again after the reader has told that it vanished.
TEST_CASE("an instance learns that a server is listed again in a new era") {
  ReaderAndMember fleet;
  for (Instance* instance : {&fleet.reader, &fleet.member}) {
    instance->feed.ReturnWith({Listed("s-leaves")});
  }
  fleet.RunFor(milliseconds(1'500));
  for (Instance* instance : {&fleet.reader, &fleet.member}) {
    instance->feed.Append(Listed("s-stays"));
  }
  fleet.RunFor(kLapseGracePeriod);
  CHECK(fleet.reader.Lists("s-stays"));
  CHECK(fleet.member.Lists("s-stays"));
}

// Guards against a slow store that gets slower because all instances read the
// list, which none of them then gets in time.
TEST_CASE("instances read the list rarely while the store is slow") {
  ReaderAndMember fleet;
  fleet.reader.feed.SetReadTime(milliseconds(600));
  fleet.member.feed.SetReadTime(milliseconds(600));
  fleet.RunFor(seconds(4));
  const std::uint64_t before = fleet.member.feed.sent_reads();
  fleet.RunFor(seconds(6));
  CHECK(fleet.member.feed.sent_reads() <= before + 4);
}

// Guards against calls to the store that instances of an earlier version cause
// during a rolling restart: their digests do not state the age of the list.
TEST_CASE("digests without the age of the list count as new") {
  ReaderAndMember fleet;
  fleet.digest_timer.Stop();
  const std::uint64_t before = fleet.member.feed.sent_reads();
  for (int i = 0; i < 6; ++i) {
    Digest digest{.sender = "reader"};
    fleet.reader.discovery->AddChangesToDigest(digest);
    digest.server_list_age.reset();
    fleet.member.discovery->ApplyDigest(digest);
    fleet.RunFor(milliseconds(500));
  }
  CHECK(fleet.member.feed.sent_reads() == before);
}

// Guards against an aggregator that the store turns away but that goes on
// sending digests, so that nobody replaces it.
TEST_CASE("an instance reads the list itself if its aggregator cannot") {
  ReaderAndMember fleet;
  fleet.reader.feed.SetAvailable(false);
  CHECK(fleet.RemoveAndMeasure() < kRemovalBound);
}

// Guards against an instance that keeps an old list because it has missed a
// digest while the store turns it away.
TEST_CASE("an instance without the store gets a missed change from a peer") {
  ReaderAndMember fleet;
  fleet.member.feed.SetAvailable(false);
  fleet.digest_timer.Stop();
  fleet.reader.feed.Append({"s-leaves", std::nullopt});
  REQUIRE(RunLoopUntil(
      fleet.loop, [&] { return !fleet.reader.Lists("s-leaves"); }, seconds(2)));
  Digest lost{.sender = "reader"};
  fleet.reader.discovery->AddChangesToDigest(lost);
  fleet.reader.feed.Append(Listed("s-new"));
  REQUIRE(RunLoopUntil(
      fleet.loop,
      [&] {
        return fleet.reader.Lists("s-new") &&
               !fleet.member.discovery->is_available();
      },
      seconds(3)));
  fleet.SendDigest();
  REQUIRE(fleet.member.asked_peer == "reader");
  Digest list{.sender = "reader"};
  REQUIRE(fleet.reader.discovery->AddFullListToDigest(list));
  fleet.member.discovery->ApplyDigest(list);
  CHECK_FALSE(fleet.member.Lists("s-leaves"));
  CHECK(fleet.member.Lists("s-new"));
}

// Guards against a missed change that an instance asks a peer for only after
// one more digest, though its read of the store got no response.
TEST_CASE("an instance asks a peer as soon as its read of a gap has failed") {
  ReaderAndMember fleet;
  fleet.digest_timer.Stop();
  fleet.member.feed.SilenceReads(100);
  fleet.reader.feed.Append({"s-leaves", std::nullopt});
  REQUIRE(RunLoopUntil(
      fleet.loop, [&] { return !fleet.reader.Lists("s-leaves"); }, seconds(2)));
  Digest lost{.sender = "reader"};
  fleet.reader.discovery->AddChangesToDigest(lost);
  fleet.SendDigest();
  constexpr Duration kReadTimeout = milliseconds(400);
  CHECK(RunLoopUntil(
      fleet.loop, [&] { return fleet.member.asked_peer == "reader"; },
      kReadTimeout + milliseconds(100)));
}

// Guards against requests to a server whose listing was removed, from an
// instance that takes one failed read for an outage in which listings expire.
TEST_CASE("a removed server is not kept after one failed read of the list") {
  EventLoop loop;
  Instance reader(loop);
  reader.feed.Append(Listed("s-stays"));
  reader.feed.Append(Listed("s-leaves"));
  reader.discovery->Start();
  reader.discovery->SetSource(ServerListSource::kStore);
  const auto await_available = [&](bool is_available) {
    return RunLoopUntil(
        loop,
        [&] {
          return reader.discovery->has_been_loaded() &&
                 reader.discovery->is_available() == is_available;
        },
        seconds(2));
  };
  REQUIRE(await_available(true));
  reader.feed.SilenceReads(1);
  REQUIRE(await_available(false));
  REQUIRE(await_available(true));
  reader.feed.Append({"s-leaves", std::nullopt});
  REQUIRE(RunLoopUntil(
      loop, [&] { return !reader.Lists("s-leaves"); }, seconds(1)));
  CHECK(reader.Lists("s-stays"));
}

}  // namespace
}  // namespace parsleyquay
