#include "fleet/fleet_state.h"

#include <algorithm>

#include "fleet/record_codec.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kRecentOutcomeLimit = 1'024;
constexpr std::size_t kPastViewLimit = 256;
constexpr std::size_t kStoppedMemberLimit = 2'048;

std::string DomainObject(const std::string& failure_domain) {
  return "domain " + failure_domain;
}

std::string KeyObject(const std::string& key_id) {
  return "key " + key_id;
}

// The objects that a change is made to, as they stand in `versions`.
std::vector<std::string> ChangedObjects(const RecordBody& body) {
  std::vector<std::string> objects;
  if (const auto* change = std::get_if<DeclarationChange>(&body)) {
    for (const SectionChange& section : change->changes) {
      objects.push_back(section.name);
    }
  } else if (const auto* domain = std::get_if<DomainChange>(&body)) {
    objects.push_back(DomainObject(domain->failure_domain));
  }
  return objects;
}

std::optional<std::uint64_t> BaseOf(const RecordBody& body) {
  if (const auto* change = std::get_if<DeclarationChange>(&body)) {
    return change->base;
  }
  if (const auto* domain = std::get_if<DomainChange>(&body)) {
    return domain->base;
  }
  return std::nullopt;
}

// A change made without knowledge of a later change to the same object loses.
std::optional<std::string> FindConflict(const FleetState& state,
                                        const RecordBody& body) {
  const std::optional<std::uint64_t> base = BaseOf(body);
  if (!base) {
    return std::nullopt;
  }
  for (const std::string& object : ChangedObjects(body)) {
    const auto version = state.versions.find(object);
    if (version != state.versions.end() && version->second.offset >= *base) {
      return "[" + object + "] was changed by " + version->second.author +
             " at offset " + std::to_string(version->second.offset) +
             ", after offset " + std::to_string(*base) +
             " on which this change is based";
    }
  }
  return std::nullopt;
}

std::optional<std::string> FindDeclarationFault(
    const FleetState& state,
    const DeclarationChange& change) {
  // NOTE: only touched sections are copied, as a declaration may be large.
  Declaration changed;
  std::vector<IniProblem> problems;
  bool touches_references = false;
  for (const SectionChange& section : change.changes) {
    ApplyChange(section, changed, problems);
    touches_references |= !section.name.starts_with("workspace ");
  }
  if (!problems.empty()) {
    return ToString(problems.front(), "change");
  }
  if (!touches_references) {
    return std::nullopt;
  }
  Declaration whole = state.declaration;
  for (const SectionChange& section : change.changes) {
    ApplyChange(section, whole, problems);
  }
  const std::vector<std::string> broken = FindReferenceErrors(whole);
  return broken.empty() ? std::nullopt
                        : std::optional("expected " + broken.front());
}

std::optional<std::string> FindFault(const FleetState& state,
                                     const RecordBody& body) {
  if (const auto* change = std::get_if<DeclarationChange>(&body)) {
    return FindDeclarationFault(state, *change);
  }
  if (const auto* key = std::get_if<KeyIssuance>(&body)) {
    if (!state.declaration.workspaces.contains(key->workspace)) {
      return "no [workspace " + key->workspace + "] is declared";
    }
    if (state.versions.contains(KeyObject(key->key_id))) {
      return "key " + key->key_id + " was issued before";
    }
  }
  if (const auto* key = std::get_if<KeyRevocation>(&body)) {
    const bool is_issued = std::ranges::any_of(state.keys, [&](const auto& k) {
      return k.second.key_id == key->key_id;
    });
    if (!is_issued) {
      return "no key " + key->key_id + " is in use";
    }
  }
  return std::nullopt;
}

void EndView(FleetState& state, std::uint64_t new_version, long time_ms) {
  state.past_views.push_back(
      {state.view.version, time_ms, ToPastMembers(state.view)});
  state.view.version = new_version;
  const auto is_outdated = [&](const PastView& past) {
    return past.replaced_at_ms + kPastViewRetentionMs < time_ms;
  };
  std::erase_if(state.past_views, is_outdated);
  if (state.past_views.size() > kPastViewLimit) {
    state.past_views.erase(state.past_views.begin());
  }
}

void NoteStopped(FleetState& state,
                 const Member& member,
                 DepartureReason reason) {
  if (reason == DepartureReason::kUnresponsive) {
    return;  // A silent member may still be running.
  }
  std::vector<PastMember>& list = reason == DepartureReason::kReleased
                                      ? state.released_members
                                      : state.stopped_members;
  list.push_back({member.name, member.incarnation, member.failure_domain});
  if (list.size() > kStoppedMemberLimit) {
    list.erase(list.begin());
  }
}

void Apply(FleetState& state, const DeclarationChange& body, const LogEntry&) {
  std::vector<IniProblem> problems;
  for (const SectionChange& change : body.changes) {
    ApplyChange(change, state.declaration, problems);
  }
}

void Apply(FleetState& state, const KeyIssuance& body, const LogEntry&) {
  state.keys[body.digest] = {body.key_id, body.workspace};
}

void Apply(FleetState& state, const KeyRevocation& body, const LogEntry&) {
  std::erase_if(state.keys, [&](const auto& key) {
    return key.second.key_id == body.key_id;
  });
}

void Apply(FleetState& state, const DomainChange& body, const LogEntry&) {
  if (body.availability == DomainAvailability::kWithdrawn) {
    state.withdrawn_domains.insert(body.failure_domain);
    return;
  }
  state.withdrawn_domains.erase(body.failure_domain);
}

// A process that was removed while it ran knows that its old rights are gone.
// Without this, a fleet whose members all lost each other would wait in vain
// for incarnations of which none is left.
void NoteFormerIncarnation(FleetState& state, const MemberJoin& body) {
  if (body.former_incarnation.empty()) {
    return;
  }
  Member former = body.member;
  former.incarnation = body.former_incarnation;
  NoteStopped(state, former, DepartureReason::kConfirmedStopped);
}

void Apply(FleetState& state, const MemberJoin& body, const LogEntry& entry) {
  NoteFormerIncarnation(state, body);
  const auto old = state.view.members.find(body.member.name);
  if (old != state.view.members.end() && old->second == body.member) {
    return;
  }
  EndView(state, entry.offset + 1, entry.time_ms);
  state.view.members[body.member.name] = body.member;
}

void Apply(FleetState& state,
           const MemberDeparture& body,
           const LogEntry& entry) {
  const auto member = state.view.members.find(body.name);
  const bool is_present = member != state.view.members.end() &&
                          member->second.incarnation == body.incarnation;
  if (!is_present) {
    return;
  }
  EndView(state, entry.offset + 1, entry.time_ms);
  NoteStopped(state, member->second, body.reason);
  state.view.members.erase(member);
}

void Apply(FleetState& state, const SnapshotPart& body, const LogEntry& entry) {
  const bool is_last = body.index + 1 == body.count;
  if (is_last && body.state_offset > state.snapshot_offset) {
    state.snapshot_offset = body.state_offset;
    state.snapshot_time_ms = entry.time_ms;
  }
}

void NoteOutcome(FleetState& state, RecordOutcome outcome) {
  state.recent_outcomes.push_back(std::move(outcome));
  if (state.recent_outcomes.size() > kRecentOutcomeLimit) {
    state.recent_outcomes.pop_front();
  }
}

void NoteVersions(FleetState& state,
                  const Record& record,
                  std::uint64_t offset) {
  for (const std::string& object : ChangedObjects(record.body)) {
    state.versions[object] = {offset, record.author};
  }
  if (const auto* key = std::get_if<KeyIssuance>(&record.body)) {
    state.versions[KeyObject(key->key_id)] = {offset, record.author};
  }
}

}  // namespace

std::optional<std::string> FindRejectionReason(const FleetState& state,
                                               const Record& record) {
  if (auto conflict = FindConflict(state, record.body)) {
    return conflict;
  }
  return FindFault(state, record.body);
}

FleetState ApplyEntry(FleetState state, const LogEntry& entry) {
  return ApplyDecodedEntry(std::move(state), entry, DecodeRecord(entry.text));
}

FleetState ApplyDecodedEntry(FleetState state,
                             const LogEntry& entry,
                             const std::optional<Record>& record) {
  if (entry.offset < state.next_offset) {
    return state;
  }
  state.next_offset = entry.offset + 1;
  state.newest_time_ms = std::max(state.newest_time_ms, entry.time_ms);
  if (!record || FindOutcome(state, record->id)) {
    return state;
  }
  if (auto refusal = FindRejectionReason(state, *record)) {
    NoteOutcome(state, {record->id, entry.offset, RecordStatus::kRejected,
                        std::move(*refusal)});
    return state;
  }
  std::visit([&](const auto& body) { Apply(state, body, entry); },
             record->body);
  NoteVersions(state, *record, entry.offset);
  NoteOutcome(state, {record->id, entry.offset, RecordStatus::kAccepted, ""});
  return state;
}

std::optional<RecordOutcome> FindOutcome(const FleetState& state,
                                         const std::string& id) {
  const auto found =
      std::ranges::find(state.recent_outcomes, id, &RecordOutcome::id);
  return found == state.recent_outcomes.end() ? std::nullopt
                                              : std::optional(*found);
}

}  // namespace parsleyquay
