#ifndef PARSLEYQUAY_FLEET_FLEET_STATE_H_
#define PARSLEYQUAY_FLEET_FLEET_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "declaration/declaration.h"
#include "fleet/record.h"
#include "fleet/view.h"

namespace parsleyquay {

// The last change of an object that operators change.
struct ObjectVersion {
  std::uint64_t offset = 0;  // of the record
  std::string author;

  bool operator==(const ObjectVersion&) const = default;
};

// An API key that is in use.
struct KeyEntry {
  std::string key_id;
  std::string workspace;

  bool operator==(const KeyEntry&) const = default;
};

enum class RecordStatus { kAccepted, kRejected };

// Whether a record took effect. All readers of the log compute the same
// outcome.
struct RecordOutcome {
  std::string id;
  std::uint64_t offset = 0;
  RecordStatus status = RecordStatus::kAccepted;
  std::string reason;  // why it was rejected

  bool operator==(const RecordOutcome&) const = default;
};

// A range of offsets whose records the log dropped before a majority had read
// them. The fleet continues without these records.
struct LostRange {
  std::uint64_t first = 0;
  std::uint64_t end = 0;  // the first offset after the range

  bool Contains(std::uint64_t offset) const {
    return offset >= this->first && offset < this->end;
  }
  bool operator==(const LostRange&) const = default;
};

// The replicated state of the fleet: the result of applying all records of the
// log below `next_offset`. All readers compute the same state for the same
// offset.
struct FleetState {
  std::uint64_t next_offset = 0;
  Declaration declaration;
  std::map<std::string, KeyEntry> keys;  // by digest
  std::set<std::string> withdrawn_domains;
  View view;
  std::vector<PastView> past_views;          // oldest first
  std::vector<PastMember> released_members;  // stopped after a handover
  std::vector<PastMember> stopped_members;   // stopped without a handover
  // By object name: a declaration section, "domain NAME" or "key ID".
  std::map<std::string, ObjectVersion> versions;
  std::deque<RecordOutcome> recent_outcomes;
  std::uint64_t snapshot_offset = 0;  // of the newest complete snapshot
  long snapshot_time_ms = 0;          // platform time of its last part
  long newest_time_ms = 0;            // latest platform time of any entry
  LostRange lost_range;  // range that the newest bridge snapshot omitted

  bool operator==(const FleetState&) const = default;
};

// How long past views are kept, in milliseconds of platform time, unless there
// are more than 256 of them. The fleet recognizes used idempotency keys for
// this long.
constexpr long kPastViewRetentionMs = 600'000;

// Applies the next entry of the log. Entries below `next_offset` are ignored.
// An entry that is not a record, that repeats an id or that is rejected changes
// only the offset, the newest time and, if rejected, the recent outcomes.
FleetState ApplyEntry(FleetState state, const LogEntry& entry);

// As ApplyEntry, for an entry whose text has been decoded already. `record` is
// std::nullopt if the text is not a record.
FleetState ApplyDecodedEntry(FleetState state,
                             const LogEntry& entry,
                             const std::optional<Record>& record);

// Checks a record against the state as ApplyEntry does. Returns the reason for
// which it would be rejected, or std::nullopt if it would be accepted.
std::optional<std::string> FindRejectionReason(const FleetState& state,
                                               const Record& record);

// Returns the outcome of the record with this id, or std::nullopt if it is not
// among the recent outcomes.
std::optional<RecordOutcome> FindOutcome(const FleetState& state,
                                         const std::string& id);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_FLEET_FLEET_STATE_H_
