#include <catch2/catch.hpp>

#include "mesh/digest.h"
#include "mesh/member_table.h"
#include "mesh/outcome_summary.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));

MemberStatus Member(const std::string& name, const std::string& domain) {
  return {.record = {.name = name,
                     .failure_domain = domain,
                     .request_address = "127.0.0.1:1",
                     .peer_address = "127.0.0.1:2",
                     .incarnation = "i-" + name},
          .is_ready = true,
          .duties = {3, 7}};
}

MemberTable FiveMembers() {
  MemberTable table;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    NoteStatus(table, Member(name, "x"), Duration(0), kStart);
  }
  NoteStatus(table, Member("f", "y"), Duration(0), kStart);
  return table;
}

TEST_CASE("every member ranks the aggregators alike") {
  MemberTable table = FiveMembers();
  const auto ranked = RankAggregators(table, "x", kStart);
  REQUIRE(ranked.size() == 5);
  SECTION("one that is silent is passed over") {
    SuspectMember(table, ranked[0], kStart);
    CHECK(RankAggregators(table, "x", kStart)[0] == ranked[1]);
  }
  SECTION("one that leaves is passed over") {
    MemberStatus leaving = Member(ranked[0], "x");
    leaving.is_leaving = true;
    NoteStatus(table, leaving, Duration(0), kStart);
    CHECK(RankAggregators(table, "x", kStart)[0] == ranked[1]);
  }
  SECTION("a suspicion ends with a new life") {
    SuspectMember(table, ranked[0], kStart);
    MemberStatus again = Member(ranked[0], "x");
    again.record.incarnation = "another";
    NoteStatus(table, again, Duration(0), kStart + milliseconds(1));
    CHECK(RankAggregators(table, "x", kStart + milliseconds(1))[0] ==
          ranked[0]);
  }
  SECTION("nobody is left when nobody is heard") {
    CHECK(RankAggregators(table, "x", kStart + kSilenceLimit).empty());
  }
}

TEST_CASE("an older status changes nothing") {
  MemberTable table = FiveMembers();
  MemberStatus old_status = Member("a", "x");
  old_status.is_ready = false;
  NoteStatus(table, old_status, seconds(2), kStart);
  CHECK(table.members.at("a").status.is_ready);
}

TEST_CASE("a record of the store does not overrule what was heard") {
  MemberTable table = FiveMembers();
  const auto before = table;
  NoteRecord(table, Member("a", "x").record, kStart + seconds(2));
  CHECK(table == before);
}

TEST_CASE("a digest survives the wire") {
  Digest digest{.sender = "a",
                .configuration_version = 7,
                .operator_position = 12,
                .servers_from = 3,
                .servers_to = 5};
  digest.server_changes = {
      {"s1", ServerListing{.service = "lookup",
                           .address = "127.0.0.1:9",
                           .failure_domain = "x",
                           .slots = 3,
                           .is_draining = true,
                           .cold_remaining = milliseconds(1'500),
                           .incarnation = 1'789'905'170'069,
                           .sequence = 4}},
      {"s2", std::nullopt}};
  digest.members = {{Member("b", "x"), milliseconds(40)}};
  AddOutcome(digest.outcomes, {"s1", Outcome::kFailed, 2}, kStart);
  AddOutcome(digest.outcomes, {"s1", Outcome::kServed, -1}, kStart);
  digest.outcomes.unserved_by_service["lookup"] = 2;
  CHECK(DecodeDigest(EncodeDigest(digest, kStart), kStart) == digest);
}

TEST_CASE("a large fleet's digest is sent in parts that lose nothing") {
  Digest digest{.sender = "a", .servers_from = 3, .servers_to = 5};
  digest.server_changes = {{"s2", std::nullopt}};
  for (int i = 0; i < 130; ++i) {
    digest.members.push_back({Member("m" + std::to_string(i), "x")});
  }
  const auto parts = SplitMembers(digest, 60);
  REQUIRE(parts.size() == 3);
  CHECK(parts[0].server_changes == digest.server_changes);
  CHECK(parts[0].servers_from == 3);
  std::vector<DigestMember> together;
  for (const Digest& part : parts) {
    CHECK(part.servers_to == 5);
    CHECK(part.members.size() <= 60);
    together.insert(together.end(), part.members.begin(), part.members.end());
  }
  CHECK(together == digest.members);
  CHECK(parts[1].server_changes.empty());
  CHECK(parts[1].servers_from == 5);
  digest.members.clear();
  CHECK(SplitMembers(digest, 60) == std::vector<Digest>{digest});
}

TEST_CASE("malformed messages are refused") {
  CHECK_FALSE(DecodeDigest(Json::Value(Json::objectValue), kStart));
  CHECK_FALSE(DecodeHeartbeat(Json::Value(Json::objectValue)));
  Json::Value outcome;
  outcome["s"] = "s1";
  outcome["o"] = 99;
  CHECK_FALSE(DecodeOutcome(outcome));
}

TEST_CASE("summaries add up and only failures are urgent") {
  OutcomeSummary one;
  OutcomeSummary two;
  AddOutcome(one, {"s", Outcome::kServed, 2}, kStart);
  AddOutcome(two, {"s", Outcome::kServed, 1}, kStart + seconds(1));
  AddSummary(one, two);
  CHECK(one.servers.at("s").counts.at(Outcome::kServed) == 2);
  CHECK(one.servers.at("s").load == 1);
  CHECK_FALSE(HasUrgent(one));
  AddOutcome(one, {"s", Outcome::kBroken, -1}, kStart);
  CHECK(HasUrgent(one));
}

}  // namespace
}  // namespace parsleyquay
