#ifndef PARSLEYQUAY_FLEET_SNAPSHOT_H_
#define PARSLEYQUAY_FLEET_SNAPSHOT_H_

#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_state.h"

namespace parsleyquay {

// The whole state as JSON text.
std::string EncodeState(const FleetState& state);
std::optional<FleetState> DecodeState(const std::string& text);

// Splits a snapshot of the state into records that fit the log.
std::vector<Record> MakeSnapshotRecords(const FleetState& state,
                                        const std::string& author,
                                        SnapshotKind kind);

// A place in the log where records are missing: it keeps only `kept_entries`,
// which begins at `first_kept_offset`.
struct LogGap {
  std::uint64_t first_kept_offset = 0;
  std::vector<LogEntry> kept_entries;
};

// Goes on behind the gap as if the missing records had never been appended.
FleetState SkipLogGap(FleetState state, const LogGap& gap);

// Whether the record completes a bridge, after which a reader has to restore
// its state from all that the log keeps.
bool CompletesBridgeSnapshot(const Record& record);

// Rebuilds the state from the entries that the log still keeps: from the
// newest complete snapshot whose later entries are all there, then those.
// A bridge counts only where no usable snapshot stands before it; a regular
// snapshot after it counts only if its author had read the bridge. So all who
// read the same entries take the same side of a gap.
// `entries` stand in order and reach to the tail. Nothing when no snapshot
// serves.
std::optional<FleetState> RestoreFromEntries(
    const std::vector<LogEntry>& entries);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_FLEET_SNAPSHOT_H_
