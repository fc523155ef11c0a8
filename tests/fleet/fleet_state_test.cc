#include "fleet/fleet_state.h"

#include <catch2/catch.hpp>

#include "fleet/record_codec.h"
#include "fleet/snapshot.h"

namespace parsleyquay {
namespace {

// Appends records as a log would.
class LogText {
 public:
  LogEntry Append(const std::string& id, RecordBody body) {
    const LogEntry entry{this->entries.size(), 1'000,
                         EncodeRecord({id, "operator " + id, std::move(body)})};
    this->entries.push_back(entry);
    return entry;
  }
  std::vector<LogEntry> entries;
};

FleetState Fold(const std::vector<LogEntry>& entries) {
  FleetState state;
  for (const LogEntry& entry : entries) {
    state = ApplyEntry(std::move(state), entry);
  }
  return state;
}

DeclarationChange SetRate(std::uint64_t base, const std::string& rate) {
  return {base,
          {{"workspace w",
            {{"rate_per_second", rate}, {"burst", "5"}, {"share", "1"}}}}};
}

Member MakeMember(const std::string& name, const std::string& incarnation) {
  return {name, incarnation, "127.0.0.1:1", "127.0.0.1:2", "d"};
}

TEST_CASE("records read back as they were written") {
  const std::vector<RecordBody> bodies = {
      SetRate(7, "3"),
      KeyIssuance{"k", "digest", "w"},
      KeyRevocation{"k"},
      DomainChange{4, "d", DomainAvailability::kWithdrawn},
      MemberJoin{MakeMember("a", "1")},
      MemberJoin{MakeMember("a", "2"), "1"},
      MemberDeparture{"a", "1", DepartureReason::kReleased},
      SnapshotPart{"s", 3, 0, 2, "text \"with\" \n quotes"}};
  for (const RecordBody& body : bodies) {
    const Record record{"id", "author", body};
    CHECK(DecodeRecord(EncodeRecord(record)) == record);
  }
}

TEST_CASE("text that is no record changes nothing but the offset") {
  const auto text = GENERATE("", "{", "[]", "{\"type\":\"other\"}",
                             "{\"type\":\"domain\",\"base\":{}}", "\x00\xff");
  const FleetState state = ApplyEntry({}, {0, 1'000, text});
  FleetState expected;
  expected.next_offset = 1;
  expected.newest_time_ms = 1'000;
  CHECK(state == expected);
}

TEST_CASE("a record appended twice counts once") {
  LogText log;
  log.Append("same", SetRate(0, "3"));
  log.Append("same", SetRate(0, "9"));
  CHECK(Fold(log.entries).declaration.workspaces.at("w").rate_per_second == 3);
}

TEST_CASE("a change on a stale base is refused with what changed and by whom") {
  LogText log;
  log.Append("first", SetRate(0, "3"));
  log.Append("second", SetRate(0, "9"));
  const FleetState state = Fold(log.entries);
  CHECK(state.declaration.workspaces.at("w").rate_per_second == 3);
  const auto outcome = FindOutcome(state, "second");
  REQUIRE(outcome);
  CHECK(outcome->status == RecordStatus::kRejected);
  CHECK(outcome->reason ==
        "[workspace w] was changed by operator first at offset 0, after offset "
        "0 on which this change is based");
}

TEST_CASE("changes to different objects do not conflict") {
  LogText log;
  log.Append("first", SetRate(0, "3"));
  log.Append("second", DomainChange{0, "d", DomainAvailability::kWithdrawn});
  CHECK(Fold(log.entries).withdrawn_domains.contains("d"));
}

TEST_CASE("a departure of another incarnation removes no one") {
  LogText log;
  log.Append("1", MemberJoin{MakeMember("a", "new")});
  log.Append("2", MemberDeparture{"a", "old", DepartureReason::kUnresponsive});
  CHECK(Fold(log.entries).view.members.contains("a"));
}

TEST_CASE("a process that joins anew states that its old incarnation ended") {
  LogText log;
  log.Append("1", MemberJoin{MakeMember("a", "old")});
  log.Append("2", MemberDeparture{"a", "old", DepartureReason::kUnresponsive});
  CHECK(Fold(log.entries).stopped_members.empty());
  log.Append("3", MemberJoin{MakeMember("a", "new"), "old"});
  CHECK(Fold(log.entries).stopped_members ==
        std::vector<PastMember>{{"a", "old", "d"}});
}

TEST_CASE("a snapshot and what follows it give the same state as the log") {
  LogText log;
  log.Append("1", SetRate(0, "3"));
  log.Append("2", KeyIssuance{"k", "digest", "w"});
  log.Append("3", MemberJoin{MakeMember("a", "1")});
  const FleetState at_snapshot = Fold(log.entries);
  CHECK(DecodeState(EncodeState(at_snapshot)) == at_snapshot);
  for (const Record& part :
       MakeSnapshotRecords(at_snapshot, "a", SnapshotKind::kRegular)) {
    log.Append(part.id, part.body);
  }
  log.Append("4", MemberJoin{MakeMember("b", "1")});
  const std::vector<LogEntry> kept(log.entries.begin() + 3, log.entries.end());
  CHECK(RestoreFromEntries(kept) == Fold(log.entries));
}

TEST_CASE("an incomplete snapshot restores nothing") {
  LogText log;
  log.Append("1", SnapshotPart{"s", 0, 0, 2, "{}"});
  CHECK_FALSE(RestoreFromEntries(log.entries));
}

// The log of two members, of which the record at offset 2 was dropped unread.
class LogWithGap {
 public:
  LogWithGap() {
    this->log.Append("1", SetRate(0, "3"));
    this->log.Append("2", MemberJoin{MakeMember("a", "1")});
    this->held = Fold(this->log.entries);
    this->log.Append("3", KeyIssuance{"dropped", "digest", "w"});
    this->read_on = Fold(this->log.entries);
    this->log.Append("4", KeyIssuance{"kept", "other digest", "w"});
    this->bridged = SkipLogGap(this->held, {3, this->Kept()});
  }
  std::vector<LogEntry> Kept() const {
    return {this->log.entries.begin() + 3, this->log.entries.end()};
  }
  void AppendSnapshot(const FleetState& state, SnapshotKind kind) {
    for (const Record& part : MakeSnapshotRecords(state, "a", kind)) {
      this->log.Append(part.id, part.body);
    }
  }
  // The names of the keys in the state that a reader restores.
  std::vector<std::string> RestoredKeys() const {
    const std::optional<FleetState> state = RestoreFromEntries(this->Kept());
    REQUIRE(state);
    CHECK(state->next_offset == this->log.entries.size());
    std::vector<std::string> names;
    for (const auto& [digest, key] : state->keys) {
      names.push_back(key.key_id);
    }
    return names;
  }

  LogText log;
  FleetState held;     // of a reader that the gap stopped
  FleetState read_on;  // of a reader that read all
  FleetState bridged;
};

using Names = std::vector<std::string>;

TEST_CASE("a bridge goes on without the dropped records") {
  LogWithGap gap;
  CHECK(gap.bridged.lost_range == LostRange{2, 3});
  CHECK_FALSE(RestoreFromEntries(gap.Kept()));
  gap.AppendSnapshot(gap.bridged, SnapshotKind::kBridge);
  CHECK(CompletesBridgeSnapshot(*DecodeRecord(gap.log.entries.back().text)));
  CHECK(gap.RestoredKeys() == Names{"kept"});
}

TEST_CASE("a regular snapshot before a bridge keeps the dropped records") {
  LogWithGap gap;
  gap.AppendSnapshot(Fold(gap.log.entries), SnapshotKind::kRegular);
  gap.AppendSnapshot(gap.bridged, SnapshotKind::kBridge);
  CHECK(gap.RestoredKeys() == Names{"dropped", "kept"});
}

TEST_CASE("a snapshot by an author that had not read the bridge is ignored") {
  LogWithGap gap;
  gap.AppendSnapshot(gap.bridged, SnapshotKind::kBridge);
  gap.AppendSnapshot(ApplyEntry(gap.read_on, gap.log.entries[3]),
                     SnapshotKind::kRegular);
  CHECK(gap.RestoredKeys() == Names{"kept"});
}

TEST_CASE("of two bridges the first counts, and what was built on it") {
  LogWithGap gap;
  gap.AppendSnapshot(gap.bridged, SnapshotKind::kBridge);
  FleetState second = gap.held;
  second.keys.clear();
  second.declaration.workspaces.clear();
  gap.AppendSnapshot(SkipLogGap(second, {3, gap.Kept()}),
                     SnapshotKind::kBridge);
  CHECK(gap.RestoredKeys() == Names{"kept"});
  const std::optional<FleetState> restored = RestoreFromEntries(gap.Kept());
  gap.AppendSnapshot(*restored, SnapshotKind::kRegular);
  gap.log.Append("5", KeyIssuance{"later", "third digest", "w"});
  CHECK(gap.RestoredKeys() == Names{"kept", "later"});
}

TEST_CASE("removing a home moves only the keys that it held") {
  std::vector<PastMember> members;
  for (int i = 0; i < 20; ++i) {
    members.push_back(
        {"m" + std::to_string(i), "1", "d" + std::to_string(i % 4)});
  }
  for (int key = 0; key < 100; ++key) {
    const std::string name = "key " + std::to_string(key);
    const std::vector<std::string> before = FindOwners(name, members, 2);
    std::vector<PastMember> fewer = members;
    std::erase_if(fewer, [&](const PastMember& member) {
      return member.name == before[0];
    });
    const std::vector<std::string> after = FindOwners(name, fewer, 2);
    CHECK((after[0] == before[1] || after[1] == before[1]));
  }
}

}  // namespace
}  // namespace parsleyquay
