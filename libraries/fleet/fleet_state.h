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

struct ObjectVersion {
  std::uint64_t offset = 0;
  std::string author;

  bool operator==(const ObjectVersion&) const = default;
};

struct KeyEntry {
  std::string key_id;
  std::string workspace;

  bool operator==(const KeyEntry&) const = default;
};

enum class RecordStatus { kAccepted, kRejected };

// What became of one record, the same at every reader.
struct RecordOutcome {
  std::string id;
  std::uint64_t offset = 0;
  RecordStatus status = RecordStatus::kAccepted;
  std::string reason;

  bool operator==(const RecordOutcome&) const = default;
};

// Offsets of records that the log dropped before a majority had read them.
struct LostRange {
  std::uint64_t first = 0;
  std::uint64_t end = 0;  // the first offset after the range

  bool Contains(std::uint64_t offset) const {
    return offset >= this->first && offset < this->end;
  }
  bool operator==(const LostRange&) const = default;
};

// All that the log says below `next_offset`. Two readers of the same offset
// hold equal states.
struct FleetState {
  std::uint64_t next_offset = 0;
  Declaration declaration;
  std::map<std::string, KeyEntry> keys;  // by digest
  std::set<std::string> withdrawn_domains;
  View view;
  std::vector<PastView> past_views;               // oldest first
  std::vector<PastMember> released_members;       // ended after handing over
  std::vector<PastMember> stopped_members;        // ended without handing over
  std::map<std::string, ObjectVersion> versions;  // by object name
  std::deque<RecordOutcome> recent_outcomes;
  std::uint64_t snapshot_offset = 0;  // of the newest complete snapshot
  long snapshot_time_ms = 0;          // platform time of its last part
  long newest_time_ms = 0;
  LostRange lost_range;  // the newest range that a bridge left out

  bool operator==(const FleetState&) const = default;
};

// How long an earlier view is kept, and so how long the fleet remembers which
// idempotency keys were used.
constexpr long kPastViewRetentionMs = 600'000;

// Applies the next entry of the log. Text that is no record, a repeated id and
// a refused change leave everything but the offset as it was.
FleetState ApplyEntry(FleetState state, const LogEntry& entry);

// The same for an entry whose text was decoded before.
FleetState ApplyDecodedEntry(FleetState state,
                             const LogEntry& entry,
                             const std::optional<Record>& record);

// Checks a change against a state as ApplyEntry would; the reason when it is
// to be refused.
std::optional<std::string> FindRejectionReason(const FleetState& state,
                                               const Record& record);

// The outcome of the record with this id, if it was applied recently.
std::optional<RecordOutcome> FindOutcome(const FleetState& state,
                                         const std::string& id);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_FLEET_FLEET_STATE_H_
