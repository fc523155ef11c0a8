#include "entry/snapshot_scheduler.h"

#include "fleet/snapshot.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(500);
constexpr Duration kRankDelay = seconds(2);
constexpr std::uint64_t kEntriesPerSnapshot = 500;

}  // namespace

SnapshotScheduler::SnapshotScheduler(EntryContext& context,
                                     FleetLogReplica& log)
    : context(context),
      log(log),
      timer(context.loop, [this] { this->Tick(); }) {}

void SnapshotScheduler::Start() {
  this->timer.StartRepeating(kTickInterval);
}

bool SnapshotScheduler::IsDue() const {
  const FleetState& fleet = this->context.fleet;
  const std::uint64_t first = this->log.first_log_offset();
  const std::uint64_t tail = fleet.next_offset;
  const bool is_in_older_half =
      first > 0 && fleet.snapshot_offset < first + (tail - first) / 2;
  const bool has_many_entries =
      tail - fleet.snapshot_offset >= kEntriesPerSnapshot;
  const long age_ms = WallClockMilliseconds() - fleet.snapshot_time_ms;
  const bool is_old =
      tail > 0 &&
      age_ms >= ToMilliseconds(this->context.settings.snapshot_interval);
  return is_in_older_half || has_many_entries || is_old;
}

void SnapshotScheduler::Tick() {
  if (!this->context.has_view_lease() || this->log.log_gap() ||
      IsLogUnavailable(this->context.membership, this->context.Now()) ||
      !this->IsDue()) {
    this->due_since.reset();
    return;
  }
  const TimePoint now = this->context.Now();
  if (!this->due_since) {
    this->due_since = now;
  }
  const long rank = this->context.RankAmongMembers(
      "snapshot " + std::to_string(this->context.fleet.snapshot_offset));
  if (now < *this->due_since + kRankDelay * rank) {
    return;
  }
  // Leaves time to read this snapshot back before another is appended.
  this->due_since = now + kRankDelay;
  const std::vector<Record> records = MakeSnapshotRecords(
      this->context.fleet, this->context.settings.name, SnapshotKind::kRegular);
  LogEvent(LogLevel::kInfo, "snapshot",
           {{"offset", std::to_string(this->context.fleet.next_offset)},
            {"parts", std::to_string(records.size())}});
  for (const Record& record : records) {
    this->log.AppendUntilApplied(record, [] {});
  }
}

}  // namespace parsleyquay
