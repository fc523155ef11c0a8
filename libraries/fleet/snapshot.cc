#include "fleet/snapshot.h"

#include <algorithm>
#include <map>

#include "base/random_id.h"
#include "fleet/record_codec.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kPartBytes = 192 * 1024;
constexpr std::size_t kIdBytes = 8;

Json::Value ToJson(const PastMember& member) {
  Json::Value json = Json::arrayValue;
  json.append(member.name);
  json.append(member.incarnation);
  json.append(member.failure_domain);
  return json;
}

PastMember PastMemberFromJson(const Json::Value& json) {
  return {json[0].asString(), json[1].asString(), json[2].asString()};
}

Json::Value MembersToJson(const std::vector<PastMember>& members) {
  Json::Value json = Json::arrayValue;
  for (const PastMember& member : members) {
    json.append(ToJson(member));
  }
  return json;
}

std::vector<PastMember> MembersFromJson(const Json::Value& json) {
  std::vector<PastMember> members;
  for (const Json::Value& member : json) {
    members.push_back(PastMemberFromJson(member));
  }
  return members;
}

Json::Value ViewsToJson(const std::vector<PastView>& views) {
  Json::Value json = Json::arrayValue;
  for (const PastView& view : views) {
    Json::Value item;
    item["version"] = Json::UInt64(view.version);
    item["replaced_at_ms"] = Json::Int64(view.replaced_at_ms);
    item["members"] = MembersToJson(view.members);
    json.append(item);
  }
  return json;
}

Json::Value OutcomesToJson(const std::deque<RecordOutcome>& outcomes) {
  Json::Value json = Json::arrayValue;
  for (const RecordOutcome& outcome : outcomes) {
    Json::Value item;
    item["id"] = outcome.id;
    item["offset"] = Json::UInt64(outcome.offset);
    item["refused"] = outcome.status == RecordStatus::kRejected;
    item["reason"] = outcome.reason;
    json.append(item);
  }
  return json;
}

Json::Value DeclarationToJson(const Declaration& declaration) {
  Json::Value json = Json::arrayValue;
  for (const SectionChange& change : FindChanges({}, declaration)) {
    json.append(parsleyquay::ToJson(change));
  }
  return json;
}

FleetState StateFromJson(const Json::Value& json) {
  FleetState state;
  state.next_offset = json["next_offset"].asUInt64();
  state.snapshot_offset = json["snapshot_offset"].asUInt64();
  state.snapshot_time_ms = json["snapshot_time_ms"].asInt64();
  state.newest_time_ms = json["newest_time_ms"].asInt64();
  state.lost_range = {json["lost_first"].asUInt64(),
                      json["lost_end"].asUInt64()};
  std::vector<IniProblem> problems;
  for (const Json::Value& change : json["declaration"]) {
    ApplyChange(SectionChangeFromJson(change), state.declaration, problems);
  }
  for (const Json::Value& key : json["keys"]) {
    state.keys[key[0].asString()] = {key[1].asString(), key[2].asString()};
  }
  for (const Json::Value& domain : json["withdrawn_domains"]) {
    state.withdrawn_domains.insert(domain.asString());
  }
  state.view.version = json["view_version"].asUInt64();
  for (const Json::Value& member : json["members"]) {
    Member value = MemberFromJson(member);
    state.view.members[value.name] = value;
  }
  for (const Json::Value& view : json["past_views"]) {
    state.past_views.push_back({view["version"].asUInt64(),
                                view["replaced_at_ms"].asInt64(),
                                MembersFromJson(view["members"])});
  }
  state.released_members = MembersFromJson(json["released_members"]);
  state.stopped_members = MembersFromJson(json["stopped_members"]);
  for (const Json::Value& item : json["versions"]) {
    state.versions[item[0].asString()] = {item[1].asUInt64(),
                                          item[2].asString()};
  }
  for (const Json::Value& item : json["outcomes"]) {
    state.recent_outcomes.push_back(
        {item["id"].asString(), item["offset"].asUInt64(),
         item["refused"].asBool() ? RecordStatus::kRejected
                                  : RecordStatus::kAccepted,
         item["reason"].asString()});
  }
  return state;
}

struct PartialSnapshot {
  std::uint64_t state_offset = 0;
  std::uint64_t count = 0;
  SnapshotKind kind = SnapshotKind::kRegular;
  std::map<std::uint64_t, std::string> parts;

  bool is_complete() const { return this->parts.size() == this->count; }
  std::string Text() const {
    std::string text;
    for (const auto& [index, part] : this->parts) {
      text += part;
    }
    return text;
  }
};

struct CompleteSnapshot {
  PartialSnapshot content;
  std::uint64_t completed_at = 0;  // offset of the entry that completed it
};

// The complete snapshots in the order in which they became so.
std::vector<CompleteSnapshot> CollectSnapshots(
    const std::vector<LogEntry>& entries) {
  std::map<std::string, PartialSnapshot> partial;
  std::vector<CompleteSnapshot> complete;
  for (const LogEntry& entry : entries) {
    const std::optional<Record> record = DecodeRecord(entry.text);
    const auto* part =
        record ? std::get_if<SnapshotPart>(&record->body) : nullptr;
    if (!part) {
      continue;
    }
    PartialSnapshot& snapshot = partial[part->snapshot_id];
    snapshot.state_offset = part->state_offset;
    snapshot.count = part->count;
    snapshot.kind = part->kind;
    const bool is_new =
        snapshot.parts.try_emplace(part->index, part->text).second;
    if (is_new && snapshot.is_complete()) {
      complete.push_back({snapshot, entry.offset});
    }
  }
  return complete;
}

bool ShouldReplace(const std::optional<CompleteSnapshot>& chosen,
                   const CompleteSnapshot& later) {
  if (!chosen) {
    return true;
  }
  if (later.content.kind == SnapshotKind::kBridge) {
    return false;
  }
  const std::uint64_t least = chosen->content.kind == SnapshotKind::kBridge
                                  ? chosen->completed_at
                                  : chosen->content.state_offset;
  return later.content.state_offset > least;
}

}  // namespace

std::string EncodeState(const FleetState& state) {
  Json::Value json;
  json["next_offset"] = Json::UInt64(state.next_offset);
  json["snapshot_offset"] = Json::UInt64(state.snapshot_offset);
  json["snapshot_time_ms"] = Json::Int64(state.snapshot_time_ms);
  json["newest_time_ms"] = Json::Int64(state.newest_time_ms);
  json["lost_first"] = Json::UInt64(state.lost_range.first);
  json["lost_end"] = Json::UInt64(state.lost_range.end);
  json["declaration"] = DeclarationToJson(state.declaration);
  json["keys"] = Json::arrayValue;
  for (const auto& [digest, key] : state.keys) {
    Json::Value item = Json::arrayValue;
    item.append(digest);
    item.append(key.key_id);
    item.append(key.workspace);
    json["keys"].append(item);
  }
  json["withdrawn_domains"] = Json::arrayValue;
  for (const std::string& domain : state.withdrawn_domains) {
    json["withdrawn_domains"].append(domain);
  }
  json["view_version"] = Json::UInt64(state.view.version);
  json["members"] = Json::arrayValue;
  for (const auto& [name, member] : state.view.members) {
    json["members"].append(parsleyquay::ToJson(member));
  }
  json["past_views"] = ViewsToJson(state.past_views);
  json["released_members"] = MembersToJson(state.released_members);
  json["stopped_members"] = MembersToJson(state.stopped_members);
  json["versions"] = Json::arrayValue;
  for (const auto& [object, version] : state.versions) {
    Json::Value item = Json::arrayValue;
    item.append(object);
    item.append(Json::UInt64(version.offset));
    item.append(version.author);
    json["versions"].append(item);
  }
  json["outcomes"] = OutcomesToJson(state.recent_outcomes);
  return ToCompactText(json);
}

std::optional<FleetState> DecodeState(const std::string& text) {
  const std::optional<Json::Value> json = ParseJson(text);
  if (!json || !json->isObject()) {
    return std::nullopt;
  }
  try {
    return StateFromJson(*json);
  } catch (const Json::Exception&) {
    // NOTE: jsoncpp reports a field of the wrong type only by exception.
    return std::nullopt;
  }
}

std::vector<Record> MakeSnapshotRecords(const FleetState& state,
                                        const std::string& author,
                                        SnapshotKind kind) {
  const std::string text = EncodeState(state);
  const std::string snapshot_id = RandomHex(kIdBytes);
  const std::size_t count = (text.size() + kPartBytes - 1) / kPartBytes;
  std::vector<Record> records;
  for (std::size_t index = 0; index < count; ++index) {
    SnapshotPart part{snapshot_id,
                      state.next_offset,
                      index,
                      count,
                      text.substr(index * kPartBytes, kPartBytes),
                      kind};
    records.push_back({RandomHex(kIdBytes), author, std::move(part)});
  }
  return records;
}

FleetState SkipLogGap(FleetState state, const LogGap& gap) {
  state.lost_range = {state.next_offset, gap.first_kept_offset};
  state.next_offset = gap.first_kept_offset;
  for (const LogEntry& entry : gap.kept_entries) {
    state = ApplyEntry(std::move(state), entry);
  }
  return state;
}

bool CompletesBridgeSnapshot(const Record& record) {
  const auto* part = std::get_if<SnapshotPart>(&record.body);
  return part && part->kind == SnapshotKind::kBridge &&
         part->index + 1 == part->count;
}

std::optional<FleetState> RestoreFromEntries(
    const std::vector<LogEntry>& entries) {
  if (entries.empty()) {
    return std::nullopt;
  }
  std::optional<CompleteSnapshot> chosen;
  for (const CompleteSnapshot& snapshot : CollectSnapshots(entries)) {
    const bool is_usable =
        snapshot.content.state_offset >= entries.front().offset;
    if (is_usable && ShouldReplace(chosen, snapshot)) {
      chosen = snapshot;
    }
  }
  if (!chosen) {
    return std::nullopt;
  }
  std::optional<FleetState> state = DecodeState(chosen->content.Text());
  if (!state) {
    return std::nullopt;
  }
  for (const LogEntry& entry : entries) {
    state = ApplyEntry(std::move(*state), entry);
  }
  return state;
}

}  // namespace parsleyquay
