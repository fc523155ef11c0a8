#include <catch2/catch.hpp>

#include <algorithm>

#include "dissemination/digest.h"
#include "dissemination/member_table.h"
#include "dissemination/member_updates.h"
#include "dissemination/outcome_summary.h"

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
          .owned_shards = {3, 7}};
}

// Returns members "a" to "e" of failure domain "x", and "f" of "y".
MemberTable MakeMemberTable() {
  MemberTable table;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    UpdateMemberStatus(table, Member(name, "x"), Duration(0), kStart);
  }
  UpdateMemberStatus(table, Member("f", "y"), Duration(0), kStart);
  return table;
}

TEST_CASE("silent and leaving members are not ranked as aggregators") {
  MemberTable table = MakeMemberTable();
  const auto ranked = RankAggregators(table, "x", kStart);
  REQUIRE(ranked.size() == 5);
  SECTION("a suspected member is not ranked") {
    SuspectMember(table, ranked[0], kStart);
    CHECK(RankAggregators(table, "x", kStart)[0] == ranked[1]);
    CHECK(RankMembers(table, "x", kStart)[0] == ranked[0]);
  }
  SECTION("a leaving member is not ranked") {
    MemberStatus leaving = Member(ranked[0], "x");
    leaving.is_leaving = true;
    UpdateMemberStatus(table, leaving, Duration(0), kStart);
    CHECK(RankAggregators(table, "x", kStart)[0] == ranked[1]);
  }
  SECTION("a new incarnation ends the suspicion") {
    SuspectMember(table, ranked[0], kStart);
    MemberStatus restarted = Member(ranked[0], "x");
    restarted.record.incarnation = "another";
    UpdateMemberStatus(table, restarted, Duration(0), kStart + milliseconds(1));
    CHECK(RankAggregators(table, "x", kStart + milliseconds(1))[0] ==
          ranked[0]);
  }
  SECTION("no member is ranked once all are silent") {
    CHECK(RankAggregators(table, "x", kStart + kMemberTimeout).empty());
  }
}

TEST_CASE("members with more capacity are ranked first as aggregators") {
  MemberTable table;
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    MemberStatus member = Member(name, "x");
    const bool is_strong = name[0] == 'c' || name[0] == 'f';
    member.record.capacity = {.processor = is_strong ? 0.5 : 0.1,
                              .link = is_strong ? 200.0 : 10.0};
    UpdateMemberStatus(table, member, Duration(0), kStart);
  }
  auto ranked = RankAggregators(table, "x", kStart);
  REQUIRE(ranked.size() == 8);
  ranked.resize(2);
  std::ranges::sort(ranked);
  CHECK(ranked == std::vector<std::string>{"c", "f"});
}

TEST_CASE("three of six members alive are at least half") {
  MemberTable table = MakeMemberTable();
  const TimePoint later = kStart + kMemberTimeout;
  for (const char* name : {"a", "b"}) {
    UpdateMemberStatus(table, Member(name, "x"), Duration(0), later);
  }
  CHECK_FALSE(IsAtLeastHalfAlive(table, later));
  UpdateMemberStatus(table, Member("c", "x"), Duration(0), later);
  CHECK(IsAtLeastHalfAlive(table, later));
}

TEST_CASE("only members lost without leaving count as recently lost") {
  MemberTable table = MakeMemberTable();
  const TimePoint later = kStart + kMemberTimeout;
  CHECK(ShareOfRecentlyLostMembers(table, kStart) == 0);
  CHECK(ShareOfRecentlyLostMembers(table, later) == 1);
  for (const char* name : {"a", "b", "c"}) {
    UpdateMemberStatus(table, Member(name, "x"), Duration(0), later);
  }
  CHECK(ShareOfRecentlyLostMembers(table, later) == 0.5);
  CHECK(ShareOfLiveMembers(table, "x", later) == 1);
  CHECK(ShareOfLiveMembers(table, "y", later) == 1);
  MemberStatus leaving = Member("d", "x");
  leaving.is_leaving = true;
  UpdateMemberStatus(table, leaving, milliseconds(1), kStart + milliseconds(2));
  CHECK(ShareOfRecentlyLostMembers(table, later + milliseconds(2)) ==
        Approx(2. / 6));
  CHECK(ShareOfRecentlyLostMembers(table, later + seconds(10)) == 0);
}

TEST_CASE("a claim of a shard keeps the time at which it was first heard") {
  MemberTable table = MakeMemberTable();
  const TimePoint later = kStart + seconds(1);
  MemberStatus more = Member("a", "x");
  more.owned_shards = {3, 5};
  UpdateMemberStatus(table, more, Duration(0), later);
  CHECK(table.members.at("a").shard_claims ==
        std::map<long, TimePoint>{{3, kStart}, {5, later}});
  CHECK(NewestOtherClaim(table, "b", 5, later) == later);
  CHECK_FALSE(NewestOtherClaim(table, "a", 5, later));
  SECTION("a silent member claims nothing") {
    CHECK_FALSE(NewestOtherClaim(table, "b", 5, later + kMemberTimeout));
  }
  SECTION("a new incarnation begins without claims") {
    MemberStatus restarted = Member("a", "x");
    restarted.record.incarnation = "another";
    UpdateMemberStatus(table, restarted, Duration(0), later + seconds(1));
    CHECK(table.members.at("a").shard_claims.at(3) == later + seconds(1));
    CHECK_FALSE(NewestOtherClaim(table, "b", 5, later + seconds(1)));
  }
}

TEST_CASE("only a known member can be in another failure domain") {
  const MemberTable table = MakeMemberTable();
  CHECK(IsOfAnotherDomain(table, "f", "x"));
  CHECK_FALSE(IsOfAnotherDomain(table, "f", "y"));
  CHECK_FALSE(IsOfAnotherDomain(table, "unknown", "x"));
}

TEST_CASE("an older status changes nothing") {
  MemberTable table = MakeMemberTable();
  MemberStatus old_status = Member("a", "x");
  old_status.is_ready = false;
  UpdateMemberStatus(table, old_status, seconds(2), kStart);
  CHECK(table.members.at("a").status.is_ready);
}

TEST_CASE("an unchanged record from the store changes nothing") {
  MemberTable table = MakeMemberTable();
  const auto before = table;
  CHECK_FALSE(
      UpdateMemberRecord(table, Member("a", "x").record, kStart + seconds(2)));
  CHECK(table == before);
  CHECK(
      UpdateMemberRecord(table, Member("g", "x").record, kStart + seconds(2)));
}

TEST_CASE("a decoded digest equals the encoded one") {
  Digest digest{.sender = "a",
                .configuration_version = 7,
                .operator_position = {0, 12},
                .serves_configuration = true,
                .servers_from = {0, 3},
                .servers_to = {0, 5},
                .server_list_age = milliseconds(250)};
  digest.operator_feed_age = milliseconds(120);
  digest.has_operator_state = true;
  digest.server_changes = {
      {"s1", ServerListing{.service = "lookup",
                           .address = "127.0.0.1:9",
                           .failure_domain = "x",
                           .version = "v2",
                           .slots = 3,
                           .is_draining = true,
                           .cold_remaining = milliseconds(1'500),
                           .incarnation = 1'789'905'170'069,
                           .sequence = 4}},
      {"s2", std::nullopt}};
  digest.members = {{Member("b", "x"), milliseconds(40)}};
  digest.domains = {{"x", {.fingerprint = ~0ULL, .age = milliseconds(30)}}};
  AddOutcome(digest.outcomes, {"s1", ServerOutcome::kFailed, 2}, kStart);
  AddOutcome(digest.outcomes, {"s1", ServerOutcome::kServed, -1}, kStart);
  digest.outcomes.failed_requests_by_service["lookup"] = 2;
  AddOutcome(digest.outcomes,
             {"s1", ServerOutcome::kServed, 2,
              VersionObservation{"lookup", "r", true, false, 13}},
             kStart);
  digest.rollouts = {{{.service = "lookup",
                       .to_version = "v2",
                       .number = 3,
                       .step = 4,
                       .phase = RolloutPhase::kSwitching,
                       .share = 0.25,
                       .duration = seconds(12),
                       .elapsed = milliseconds(8'250),
                       .instances = 36,
                       .requests = 600,
                       .exposed = 55,
                       .old_versions = {"", "v1"},
                       .driver = "a",
                       .reason = "as good"},
                      milliseconds(120)}};
  CHECK(DecodeDigest(EncodeDigest(digest, kStart), kStart) == digest);
}

// Guards against instances of an earlier version that no longer understand the
// digests of this one.
TEST_CASE("a digest states eras only if the store does") {
  Digest digest{.sender = "a",
                .operator_position = {0, 12},
                .servers_from = {0, 3},
                .servers_to = {0, 5}};
  const Json::Value before = EncodeDigest(digest, kStart);
  CHECK(before.getMemberNames() ==
        std::vector<std::string>{"a", "f", "p", "v", "z"});
  digest.operator_position.era = 1;
  digest.servers_from.era = digest.servers_to.era = 2;
  Json::Value after = EncodeDigest(digest, kStart);
  CHECK(DecodeDigest(after, kStart) == digest);
  after.removeMember("e");
  CHECK(after == before);
}

TEST_CASE("a digest of a large fleet is split without loss") {
  Digest digest{.sender = "a", .servers_from = {0, 3}, .servers_to = {0, 5}};
  digest.server_changes = {{"s2", std::nullopt}};
  for (int i = 0; i < 130; ++i) {
    digest.members.push_back({Member("m" + std::to_string(i), "x")});
  }
  const auto parts = SplitDigest(digest, 60);
  REQUIRE(parts.size() == 3);
  CHECK(parts[0].server_changes == digest.server_changes);
  CHECK(parts[0].servers_from.offset == 3);
  std::vector<DigestMember> joined;
  for (const Digest& part : parts) {
    CHECK(part.servers_to.offset == 5);
    CHECK(part.members.size() <= 60);
    joined.insert(joined.end(), part.members.begin(), part.members.end());
  }
  CHECK(joined == digest.members);
  CHECK(parts[1].server_changes.empty());
  CHECK(parts[1].servers_from.offset == 5);
  digest.members.clear();
  CHECK(SplitDigest(digest, 60) == std::vector<Digest>{digest});
}

TEST_CASE("a matching fingerprint confirms all members of a failure domain") {
  MemberTable table = MakeMemberTable();
  const MemberTable other = table;
  const TimePoint later = kStart + seconds(3);
  const DomainView view{
      .fingerprint = ComputeDomainView(other, "x", kStart).fingerprint,
      .age = milliseconds(100)};
  SECTION("if both tables agree") {
    CHECK(ConfirmDomainView(table, "x", view, later));
    CHECK(CountAlive(table, kStart + kMemberTimeout) == 5);
    CHECK(CountAlive(table, later + kMemberTimeout - milliseconds(100)) == 0);
  }
  SECTION("but not if a member has changed its status since") {
    MemberStatus changed = Member("a", "x");
    changed.owned_shards = {4};
    UpdateMemberStatus(table, changed, Duration(0), later);
    CHECK_FALSE(ConfirmDomainView(table, "x", view, later));
    CHECK(CountAlive(table, kStart + kMemberTimeout) == 1);
  }
  SECTION("and a later report of a silent member overrides it") {
    REQUIRE(ConfirmDomainView(table, "x", view, later));
    UpdateMemberStatus(table, Member("b", "x"), kMemberTimeout, later);
    CHECK_FALSE(IsAlive(table.members.at("b"), later));
    CHECK(IsAlive(table.members.at("a"), later));
  }
}

TEST_CASE("a member that has lost a digest requests the member list") {
  MemberTable aggregator = MakeMemberTable();
  MemberTable member = MakeMemberTable();
  MemberStatus changed = Member("a", "x");
  changed.is_leaving = true;
  UpdateMemberStatus(aggregator, changed, Duration(0),
                     kStart + milliseconds(1));
  MemberUpdates updates;
  const auto receive_view = [&](TimePoint now) {
    return ReconcileDomainView(updates, member, "x",
                               ComputeDomainView(aggregator, "x", now), now);
  };
  // The update may still be on its way.
  CHECK_FALSE(receive_view(kStart + milliseconds(10)));
  CHECK_FALSE(receive_view(kStart + milliseconds(510)));
  CHECK(receive_view(kStart + milliseconds(1'010)));
  // A request was sent a moment ago.
  CHECK_FALSE(receive_view(kStart + milliseconds(1'510)));
  CHECK(receive_view(kStart + milliseconds(2'600)));
  for (const DigestMember& each :
       ListDomainMembers(aggregator, {"x"}, kStart + milliseconds(2'700))) {
    UpdateMemberStatus(member, each.status, each.age,
                       kStart + milliseconds(2'700));
  }
  CHECK_FALSE(receive_view(kStart + milliseconds(2'710)));
  CHECK(updates.divergences.empty());
  CHECK(member.members.at("a").status.is_leaving);
}

TEST_CASE("the size of a digest does not depend on unchanged members") {
  const auto digest_size = [](int count) {
    MemberTable table;
    MemberUpdates updates;
    for (int i = 0; i < count; ++i) {
      UpdateMemberStatus(table, Member("m" + std::to_string(i), "x"),
                         Duration(0), kStart);
    }
    AddSilentMembers(updates, table, kStart);
    const Digest digest{
        .sender = "m0",
        .members = ListChangedMembers(updates, table, "", kStart),
        .domains = {{"x", ComputeDomainView(table, "x", kStart)}}};
    return EncodeDigest(digest, kStart).toStyledString().size();
  };
  // The number of digits of the fingerprint may differ.
  CHECK(digest_size(850) < digest_size(36) + 20);
}

TEST_CASE("a silent member is listed in digests for a limited time") {
  MemberTable table = MakeMemberTable();
  const TimePoint silent = kStart + kMemberTimeout;
  for (const char* name : {"b", "c", "d", "e", "f"}) {
    UpdateMemberStatus(table, Member(name, name[0] == 'f' ? "y" : "x"),
                       Duration(0), silent);
  }
  MemberUpdates updates;
  AddSilentMembers(updates, table, silent);
  CHECK(updates.changed_members == std::set<std::string>{"a"});
  CHECK(ListChangedMembers(updates, table, "y", silent).empty());
  CHECK(ListChangedMembers(updates, table, "x", silent).front().age ==
        kMemberTimeout);
  MemberUpdates later;
  AddSilentMembers(later, table, silent + seconds(2));
  CHECK(later.changed_members.empty());
}

TEST_CASE("malformed messages are not decoded") {
  CHECK_FALSE(DecodeMemberListRequest(Json::Value(Json::objectValue)));
  CHECK_FALSE(DecodeDigest(Json::Value(Json::objectValue), kStart));
  CHECK_FALSE(DecodeHeartbeat(Json::Value(Json::objectValue)));
  Json::Value outcome;
  outcome["s"] = "s1";
  outcome["o"] = 99;
  CHECK_FALSE(DecodeOutcome(outcome));
}

TEST_CASE("merging adds up outcomes, and only failures are urgent") {
  OutcomeSummary one;
  OutcomeSummary two;
  AddOutcome(one, {"s", ServerOutcome::kServed, 2}, kStart);
  AddOutcome(two, {"s", ServerOutcome::kServed, 1}, kStart + seconds(1));
  MergeSummary(one, two);
  CHECK(one.servers.at("s").counts.at(ServerOutcome::kServed) == 2);
  CHECK(one.servers.at("s").load == 1);
  CHECK_FALSE(HasUrgent(one));
  AddOutcome(one, {"s", ServerOutcome::kBroken, -1}, kStart);
  CHECK(HasUrgent(one));
}

}  // namespace
}  // namespace parsleyquay
