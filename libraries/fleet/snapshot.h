#ifndef PARSLEYQUAY_FLEET_SNAPSHOT_H_
#define PARSLEYQUAY_FLEET_SNAPSHOT_H_

#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_state.h"

namespace parsleyquay {

// Returns the whole state as JSON text.
std::string EncodeState(const FleetState& state);

// Parses the text of EncodeState. Returns std::nullopt if it is malformed.
std::optional<FleetState> DecodeState(const std::string& text);

// Splits a snapshot of the state into records of a size that the log accepts.
std::vector<Record> MakeSnapshotRecords(const FleetState& state,
                                        const std::string& author,
                                        SnapshotKind kind);

// A gap in the log as one reader sees it: the log has dropped records that the
// reader needs. `kept_entries` are all entries that the log still has, from
// `first_kept_offset` on.
struct LogGap {
  std::uint64_t first_kept_offset = 0;
  std::vector<LogEntry> kept_entries;
};

// Applies the entries after the gap, as if the missing records had never been
// appended, and records the gap as the state's lost range.
FleetState SkipLogGap(FleetState state, const LogGap& gap);

// Whether the record is the last part of a bridge snapshot. A reader that meets
// it has to restore its state from all entries that the log keeps.
bool CompletesBridgeSnapshot(const Record& record);

// Rebuilds the state from the entries that the log still keeps: starts from the
// newest complete snapshot whose later entries are all kept, and applies those.
// A bridge snapshot is used only if no usable snapshot was complete before it.
// A regular snapshot after a bridge is used only if its author had read the
// bridge. All readers of the same entries thus agree on whether the records of
// a gap count. `entries` are in order and end at the log's tail. Returns
// std::nullopt if there is no usable snapshot.
std::optional<FleetState> RestoreFromEntries(
    const std::vector<LogEntry>& entries);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_FLEET_SNAPSHOT_H_
