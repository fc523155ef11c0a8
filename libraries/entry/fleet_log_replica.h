#ifndef PARSLEYQUAY_ENTRY_FLEET_LOG_REPLICA_H_
#define PARSLEYQUAY_ENTRY_FLEET_LOG_REPLICA_H_

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "entry/entry_context.h"
#include "event/timer.h"
#include "fleet/snapshot.h"

namespace parsleyquay {

// Keeps this instance's copy of the fleet's state up to date: reads the
// platform's append-only log up to its tail, or, while the log cannot be
// reached, gets entries or the whole state from other instances. The offset of
// the state never decreases. Also appends records to the log.
class FleetLogReplica {
 public:
  // Calls `on_change` after new entries have been applied or the whole state
  // has been replaced.
  FleetLogReplica(EntryContext& context, std::function<void()> on_change);

  void Start();

  // To be called when another instance is found to have a higher offset.
  // Fetches the missing entries, from the log if it was reached lately, else
  // from the instance at `http_address`.
  void CatchUp(const std::string& http_address);

  // Appends the record, and appends it again until it has been read back and
  // its outcome is known here. Then calls `on_applied` once.
  void AppendUntilApplied(Record record, std::function<void()> on_applied);

  // Returns the entries from offset `from` on, for another instance. Returns
  // std::nullopt if the entry at `from` is no longer kept here.
  std::optional<LogPage> PageFrom(std::uint64_t from) const;

  // The gap in the log that blocks this instance, if there is one: the log has
  // dropped the entry at the next offset and keeps no usable snapshot. A member
  // that is blocked accepts neither entries nor the whole state from others.
  const std::optional<LogGap>& log_gap() const { return this->open_gap; }

  bool has_read_log() const { return this->last_read_at.has_value(); }

  // The oldest offset that the log still kept when it was last read.
  std::uint64_t first_log_offset() const { return this->first_kept_offset; }

 private:
  struct PendingAppend {
    Record record;
    std::function<void()> on_applied;
    TimePoint retry_at;
  };

  void Poll();
  void OnPage(const LogPage& page, TimePoint requested_at);
  void ApplyEntries(const std::vector<LogEntry>& entries);
  void CollectForRestore(const LogPage& page, TimePoint requested_at);
  void RecordGap(const LogPage& page);
  void ReplaceState(FleetState state);
  std::vector<Record> FindLostOperatorRecords(const LostRange& lost) const;
  void PullFromPeer(const std::string& http_address);
  void PullStateFromPeer(const std::string& http_address);
  void PullFromSeed();
  bool is_member_blocked_by_gap() const {
    return this->open_gap && this->context.membership.is_member;
  }
  void SendPendingAppends();
  void CompletePendingAppends();
  Duration PollInterval() const;

  EntryContext& context;
  std::function<void()> on_change;
  Timer poll_timer;
  Timer append_timer;
  bool is_reading = false;
  bool is_pulling = false;
  std::optional<TimePoint> last_read_at;
  std::uint64_t first_kept_offset = 0;
  std::vector<LogEntry> restore_entries;
  bool must_restore = false;  // a bridge snapshot was read
  std::optional<LogGap> open_gap;
  std::deque<LogEntry> recent_entries;
  std::size_t recent_bytes = 0;
  std::vector<PendingAppend> pending_appends;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_FLEET_LOG_REPLICA_H_
