// Tests the fleet's coordination store against a simulated store that injects
// faults.

#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "coordination/change_feed_reader.h"
#include "coordination/fleet_secret.h"
#include "platform/platform_coordination_store.h"
#include "support/await.h"
#include "support/scripted_server.h"
#include "support/store_stand_in.h"

namespace parsleyquay {
namespace {

struct StoreFixture : StoreStandIn {
  HttpClient store_client{loop};
  CoordinationStore coordination = platform::MakePlatformCoordinationStore(
      std::make_shared<platform::StoreClient>(store_client, address),
      12);
};

std::string Server(int sequence) {
  return R"({"service":"s","address":"127.0.0.1:9","zone":"z","version":"v1",
             "slots":3,"state":"ready","cold_remaining":"0ms","seq":)" +
         std::to_string(sequence) + "}";
}

// Follows the server list and records the last sequence read of each server, or
// -1 once the server has been removed.
struct ServerListReader {
  explicit ServerListReader(StoreFixture& fixture, Duration wait = seconds(20))
      : reader(fixture.loop,
               "servers",
               fixture.coordination.servers,
               {.wait = wait,
                .interval = milliseconds(20),
                .timeout = milliseconds(300)},
               {.on_changes = [this](const std::vector<ServerChange>& changes,
                                     ChangeSetKind kind) {
                 this->wholes += kind == ChangeSetKind::kSnapshot ? 1 : 0;
                 for (const ServerChange& change : changes) {
                   this->sequences[change.server] =
                       change.listing
                           ? static_cast<long>(change.listing->sequence)
                           : -1;
                 }
               }}) {
    this->reader.Start();
  }
  std::map<std::string, long> sequences;
  int wholes = 0;
  ChangeFeedReader<ServerChange> reader;
};

TEST_CASE("existing and later records are read") {
  StoreFixture fixture;
  fixture.Control("put=keyed.servers&key=a", Server(1));
  fixture.Control("put=keyed.servers&key=b", "no server at all");
  fixture.Control("put=keyed.servers&key=c", std::string(100'000, '['));
  ServerListReader reader(fixture);
  REQUIRE(fixture.Await([&] { return reader.sequences["a"] == 1; }));
  CHECK(reader.sequences.size() == 1);
  fixture.Control("put=keyed.servers&key=a", Server(2));
  CHECK(fixture.Await([&] { return reader.sequences["a"] == 2; },
                      milliseconds(500)));
  fixture.Control("drop=keyed.servers&key=a");
  CHECK(fixture.Await([&] { return reader.sequences["a"] == -1; },
                      milliseconds(500)));
}

TEST_CASE("keys beyond the first page are read") {
  StoreFixture fixture;
  constexpr int kServers = 620;
  for (int i = 0; i < kServers; ++i) {
    fixture.Control("put=keyed.servers&key=s" + std::to_string(i), Server(i));
  }
  ServerListReader reader(fixture);
  CHECK(fixture.Await([&] { return reader.sequences.size() == kServers; }));
}

TEST_CASE("the feed is read in full after records expired unread") {
  StoreFixture fixture;
  fixture.Control("put=keyed.servers&key=a", Server(1));
  ServerListReader reader(fixture);
  REQUIRE(fixture.Await([&] { return reader.sequences["a"] == 1; }));
  fixture.Control("down=all");
  REQUIRE(fixture.Await([&] { return !reader.reader.is_available(); },
                        seconds(25)));
  fixture.Control("put=keyed.servers&key=a", Server(5));
  fixture.Control("forget=1");
  fixture.Control("up=all");
  CHECK(fixture.Await([&] { return reader.sequences["a"] == 5; }));
  CHECK(reader.wholes == 2);
}

TEST_CASE(
    "reads succeed again after the store was down, slow or unresponsive") {
  for (const char* fault : {"down=all", "silent=all", "slow_ms=2000"}) {
    StoreFixture fixture;
    fixture.Control("put=keyed.servers&key=a", Server(1));
    ServerListReader reader(fixture, Duration(0));
    REQUIRE(fixture.Await([&] { return reader.sequences["a"] == 1; }));
    fixture.Control(fault);
    REQUIRE(fixture.Await([&] { return !reader.reader.is_available(); }));
    fixture.Control("slow_ms=0");
    fixture.Control("up=all");
    fixture.Control("put=keyed.servers&key=a", Server(2));
    CHECK(fixture.Await([&] { return reader.sequences["a"] == 2; },
                        milliseconds(2'500)));
  }
}

TEST_CASE(
    "a read that waits on a stalled connection is replaced by a new one") {
  StoreFixture fixture;
  fixture.Control("put=keyed.servers&key=a", Server(1));
  ServerListReader reader(fixture);
  REQUIRE(fixture.Await([&] { return reader.sequences["a"] == 1; }));
  fixture.Control("silent=all");
  // The pending read gets no response any more. ReadNow() is called as if a
  // peer had reported a later change.
  fixture.Control("put=keyed.servers&key=a", Server(2));
  fixture.Control("up=all");
  reader.reader.ReadNow();
  CHECK(fixture.Await([&] { return reader.sequences["a"] == 2; },
                      milliseconds(500)));
}

// Guards against a slow store that is never read, because every read times out
// shortly before its response arrives.
TEST_CASE("a store that responds after the read timeout is read nevertheless") {
  StoreFixture fixture;
  fixture.Control("put=keyed.servers&key=a", Server(1));
  ServerListReader reader(fixture);  // its read timeout is 300 ms
  REQUIRE(fixture.Await([&] { return reader.sequences["a"] == 1; }));
  fixture.Control("slow_ms=700");
  fixture.Control("put=keyed.servers&key=a", Server(2));
  REQUIRE(fixture.Await([&] { return reader.sequences["a"] == 2; }));
  reader.reader.ReadNow();
  fixture.Control("put=keyed.servers&key=a", Server(3));
  CHECK(fixture.Await([&] { return reader.sequences["a"] == 3; }, seconds(4)));
}

// Guards against an instance that has missed many changes and then decodes all
// of the superseded records too.
TEST_CASE("only the newest of the missed changes to a key is delivered") {
  StoreFixture fixture;
  constexpr int kChanges = 40;
  for (int i = 1; i <= kChanges; ++i) {
    fixture.Control("put=keyed.servers&key=a", Server(i));
    fixture.Control("put=keyed.servers&key=b", Server(i));
  }
  fixture.Control("drop=keyed.servers&key=b");
  fixture.Control("put=keyed.servers&key=a", "no server at all");
  std::optional<FeedReadResult<ServerChange>> read;
  fixture.coordination.servers.read_from(
      {}, {}, [&](FeedReadResult<ServerChange> got) { read = std::move(got); });
  REQUIRE(fixture.Await([&] { return read.has_value(); }));
  CHECK(read->next_position.offset == 2 * kChanges + 2);
  REQUIRE(read->changes.size() == 2);
  CHECK(read->changes[0].listing->sequence == kChanges);
  CHECK(read->changes[1] == ServerChange{"b", std::nullopt});
}

void GetOrCreateSecret(
    StoreFixture& fixture,
    const std::string& proposal,
    const std::function<void(std::optional<std::string>)>& on_secret) {
  AgreeOnSecret(
      fixture.coordination, proposal, [](const FleetRecords&) { return true; },
      [on_secret](const std::optional<AgreedSecret>& agreed) {
        on_secret(agreed ? std::optional(agreed->secret) : std::nullopt);
      });
}

TEST_CASE("the secret is found behind the records of a large fleet") {
  constexpr int kMembers = 850;
  StoreFixture fixture;
  for (int i = 0; i < kMembers; ++i) {
    fixture.Control("put=keyed.parsleyquay&key=member/" + std::to_string(i),
                    "{}");
  }
  fixture.Control("put=keyed.parsleyquay&key=secret", "shared");
  std::optional<std::string> secret;
  GetOrCreateSecret(
      fixture, "proposal",
      [&](const std::optional<std::string>& found) { secret = found; });
  REQUIRE(fixture.Await([&] { return secret.has_value(); }));
  CHECK(*secret == "shared");
}

TEST_CASE("concurrent reads of the same records share one call") {
  StoreFixture fixture;
  int done = 0;
  const auto read = [&] {
    return fixture.coordination.members.read_all(
        {.timeout = seconds(1)},
        [&](const FeedReadResult<MemberChange>& result) {
          CHECK(result.status == FeedReadStatus::kRead);
          ++done;
        });
  };
  read();
  const CancelFeedRead cancel = read();
  read();
  cancel();
  REQUIRE(fixture.Await([&] { return done == 2; }));
  CHECK(fixture.model.calls().at("/api/log-newest") == 1);
  read();
  REQUIRE(fixture.Await([&] { return done == 3; }));
  CHECK(fixture.model.calls().at("/api/log-newest") == 2);
}

TEST_CASE("instances that start concurrently agree on one secret") {
  StoreFixture fixture;
  std::map<int, std::string> secrets;
  std::function<void(int)> agree = [&](int instance) {
    GetOrCreateSecret(fixture, "proposal-" + std::to_string(instance),
                      [&, instance](const std::optional<std::string>& secret) {
                        if (secret) {
                          secrets[instance] = *secret;
                        } else {
                          agree(instance);
                        }
                      });
  };
  for (int instance = 0; instance < 8; ++instance) {
    agree(instance);
  }
  REQUIRE(fixture.Await([&] { return secrets.size() == 8; }));
  for (const auto& [instance, secret] : secrets) {
    CHECK(secret == secrets[0]);
  }
}

TEST_CASE(
    "a secret is agreed on although its append is late and gets no response") {
  StoreFixture fixture;
  fixture.Control("lose_replies=1&late_ms=300");
  std::optional<std::string> secret;
  std::function<void()> agree = [&] {
    GetOrCreateSecret(fixture, "proposal",
                      [&](const std::optional<std::string>& agreed) {
                        if (agreed) {
                          secret = agreed;
                        } else {
                          agree();
                        }
                      });
  };
  agree();
  CHECK(fixture.Await([&] { return secret.has_value(); }));
  CHECK(*secret == "proposal");
}

TEST_CASE("each shard has one owner and is reassigned when its owner expires") {
  StoreFixture fixture;
  std::map<std::string, std::vector<long>> held;
  std::map<std::string, std::uint64_t> generations;
  const auto renew = [&](const std::string& member) {
    bool is_done = false;
    fixture.coordination.shard_group.renew(
        member, seconds(1), generations[member],
        [&](const std::optional<ShardAssignment>& dealt) {
          REQUIRE(dealt);
          held[member] = dealt->shards;
          generations[member] = dealt->generation;
          is_done = true;
        });
    REQUIRE(fixture.Await([&] { return is_done; }));
  };
  renew("a");
  CHECK(held["a"].size() == 12);
  renew("b");
  renew("a");
  renew("b");
  CHECK(held["a"].size() == 6);
  CHECK(held["b"].size() == 6);
  fixture.Await([] { return false; }, milliseconds(1'100));
  renew("b");
  CHECK(held["b"].size() == 12);
  fixture.Control("regroup=1");
  renew("b");
  CHECK(held["b"].size() == 12);
  bool has_left = false;
  fixture.coordination.shard_group.leave("b", [&] { has_left = true; });
  REQUIRE(fixture.Await([&] { return has_left; }));
  renew("a");
  CHECK(held["a"].size() == 12);
}

// Guards against what was in flight when the store returned with older data.
TEST_CASE("a late response of an earlier era counts as none") {
  StoreFixture fixture;
  fixture.Control("put=keyed.servers&key=a", Server(1));
  std::map<std::string, FeedReadResult<ServerChange>> reads;
  const auto read = [&](const std::string& name) {
    fixture.coordination.servers.read_from(
        {}, {.timeout = seconds(2)},
        [&, name](FeedReadResult<ServerChange> got) {
          reads[name] = std::move(got);
        });
  };
  fixture.Control("slow_ms=400");
  read("late");
  fixture.RunFor(milliseconds(50));
  fixture.Control("slow_ms=0&rewind_ms=0");
  read("new");
  REQUIRE(fixture.Await([&] { return reads.size() == 2; }));
  CHECK(reads["new"].status == FeedReadStatus::kRead);
  CHECK(reads["new"].next_position == FeedPosition{1, 1});
  CHECK(reads["late"].status == FeedReadStatus::kUnavailable);
}

// Guards against numbers that the store has issued twice: the end of a topic as
// a condition, and the generation of a group.
TEST_CASE("conditions and generations of an earlier era are not used") {
  StoreFixture fixture;
  std::optional<FleetRecords> records;
  std::optional<ShardAssignment> before;
  std::optional<ShardAssignment> after;
  const auto renew = [&](std::optional<ShardAssignment>& assignment) {
    fixture.coordination.shard_group.renew(
        "a", seconds(2), 0, [&](std::optional<ShardAssignment> got) {
          assignment = std::move(got);
        });
    REQUIRE(fixture.Await([&] { return assignment.has_value(); }));
  };
  fixture.coordination.read_fleet_records(
      [&](std::optional<FleetRecords> got) { records = std::move(got); });
  REQUIRE(fixture.Await([&] { return records.has_value(); }));
  renew(before);
  fixture.Control("rewind_ms=60000");
  renew(after);
  CHECK(after->generation == before->generation);
  CHECK_FALSE(IsSameGeneration(*after, *before));
  std::optional<PublishOutcome> outcome;
  fixture.coordination.publish_secret(
      "secret", records->end, [&](PublishOutcome got) { outcome = got; });
  REQUIRE(fixture.Await([&] { return outcome.has_value(); }));
  CHECK(*outcome == PublishOutcome::kConflict);
  CHECK_FALSE(fixture.model.calls().contains("/api/log-append"));
}

TEST_CASE("a member is listed until it deletes its record") {
  StoreFixture fixture;
  const MemberRecord record{.name = "g-1",
                            .failure_domain = "z",
                            .request_address = "127.0.0.1:1",
                            .peer_address = "127.0.0.1:2",
                            .incarnation = "i"};
  std::optional<PublishOutcome> outcome;
  const auto publish = [&](const MemberChange& change) {
    outcome.reset();
    fixture.coordination.publish_member(
        change, [&](PublishOutcome got) { outcome = got; });
    REQUIRE(fixture.Await([&] { return outcome.has_value(); }));
    CHECK(*outcome == PublishOutcome::kDone);
  };
  const auto read = [&] {
    std::optional<FeedReadResult<MemberChange>> all;
    fixture.coordination.members.read_all(
        {.timeout = seconds(1)},
        [&](FeedReadResult<MemberChange> got) { all = std::move(got); });
    REQUIRE(fixture.Await([&] { return all.has_value(); }));
    return all->changes;
  };
  publish({"g-1", record});
  CHECK(read() == std::vector<MemberChange>{{"g-1", record}});
  publish({"g-1", std::nullopt});
  CHECK(read().empty());
}

// Reads pages of records from a store whose responses a test writes.
struct ScriptedStore {
  std::optional<platform::LatestRecordsPage> Read(const std::string& bytes) {
    this->response = bytes;
    std::optional<platform::LatestRecordsPage> page;
    bool is_done = false;
    this->store.ReadLatestRecords(
        "keyed.op", "", {.timeout = milliseconds(500)},
        [&](std::optional<platform::LatestRecordsPage> read) {
          page = std::move(read);
          is_done = true;
        });
    REQUIRE(RunLoopUntil(
        this->loop, [&] { return is_done; }, seconds(2)));
    return page;
  }

  EventLoop loop;
  HttpClient http{loop};
  std::string response;
  ScriptedServer server{
      loop, [this](const RawRequest&) { return RawResponse{this->response}; }};
  platform::StoreClient store{http, server.address()};
};

std::string PageResponse(const std::string& status_line, int end) {
  const std::string body = R"({"items":[],"end":)" + std::to_string(end) + "}";
  return status_line + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Guards against a page that the store has not sent: a refusal that is taken as
// a success, and the rest of an earlier response.
TEST_CASE("a response of the store that is not read in full does not count") {
  const std::string proper = PageResponse("HTTP/1.1 200 OK", 7);
  ScriptedStore fixture;
  REQUIRE(fixture.Read(proper));
  REQUIRE(fixture.Read(proper)->end_offset == 7);
  REQUIRE(fixture.server.connections() == 1);
  SECTION("two heads run together") {
    CHECK_FALSE(fixture.Read(
        PageResponse("HTTP/1.1 200 OKHTTP/1.1 503 Service Unavailable", 9)));
  }
  SECTION("a malformed status line") {
    CHECK_FALSE(fixture.Read(PageResponse("HTTP/HTTP/1.1 503 Busy", 9)));
  }
  SECTION("bytes after the end") {
    CHECK(
        fixture.Read(proper + PageResponse("HTTP/1.1 200 OK", 9))->end_offset ==
        7);
  }
  REQUIRE(fixture.Read(proper));
  CHECK(fixture.Read(proper)->end_offset == 7);
  CHECK(fixture.server.connections() == 2);
}

}  // namespace
}  // namespace parsleyquay
