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

// Keeps the fleet's state up to the tail of the platform's log, from the log
// or, where it cannot be reached, from other instances. Offsets only rise.
class FleetLogReplica {
 public:
  // `on_change` is called after new entries were applied.
  FleetLogReplica(EntryContext& context, std::function<void()> on_change);

  void Start();

  // Another instance holds a newer offset: fetches what is missing, from the
  // log if it answers, else from that instance.
  void CatchUp(const std::string& http_address);

  // Appends until the record is known to be in the log. `on_known` is called
  // once, when its outcome can be read.
  void AppendUntilApplied(Record record, std::function<void()> on_known);

  // Entries from `from` on for another instance; nothing if they are not kept.
  std::optional<LogPage> PageFrom(std::uint64_t from) const;

  // The gap that keeps this instance from reading on, if there is one: the log
  // has dropped what comes next and keeps no snapshot that serves. While it
  // lasts, nothing is taken from other instances.
  const std::optional<LogGap>& log_gap() const { return this->open_gap; }

  bool has_read_log() const { return this->last_read_at.has_value(); }

  // The oldest offset that the log kept when it was last read.
  std::uint64_t first_log_offset() const { return this->first_kept_offset; }

 private:
  struct PendingAppend {
    Record record;
    std::function<void()> on_known;
    TimePoint retry_at;
  };

  void Poll();
  void OnPage(const LogPage& page, TimePoint asked_at);
  void ApplyEntries(const std::vector<LogEntry>& entries);
  void CollectForRestore(const LogPage& page, TimePoint asked_at);
  void NoteGap(const LogPage& page);
  void Adopt(FleetState state);
  std::vector<Record> FindLostChanges(const LostRange& lost) const;
  void PullFromPeer(const std::string& http_address);
  void PullStateFromPeer(const std::string& http_address);
  void AskSeeds();
  bool is_member_behind_gap() const {
    return this->open_gap && this->context.membership.is_member;
  }
  void SendPendingAppends();
  void SettlePendingAppends();
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
  bool should_restore = false;  // a bridge was met
  std::optional<LogGap> open_gap;
  std::deque<LogEntry> recent_entries;
  std::size_t recent_bytes = 0;
  std::vector<PendingAppend> pending_appends;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_FLEET_LOG_REPLICA_H_
