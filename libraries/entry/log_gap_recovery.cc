#include "entry/log_gap_recovery.h"

#include "fleet/snapshot.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(500);
// Leaves time for a regular snapshot by an instance that has read the records.
constexpr Duration kRegularSnapshotWait = seconds(5);
constexpr Duration kRankDelay = seconds(2);

}  // namespace

LogGapRecovery::LogGapRecovery(EntryContext& context, FleetLogReplica& log)
    : context(context),
      log(log),
      timer(context.loop, [this] { this->Tick(); }) {}

void LogGapRecovery::Start() {
  this->timer.StartRepeating(kTickInterval);
}

void LogGapRecovery::Tick() {
  const TimePoint now = this->context.Now();
  const std::optional<LogGap>& gap = this->log.log_gap();
  if (!gap || !IsMajorityBlockedByGap(this->context.membership, now)) {
    this->due_since.reset();
    return;
  }
  if (!this->due_since) {
    this->due_since = now;
  }
  const std::uint64_t next_offset = this->context.fleet.next_offset;
  const long rank =
      this->context.RankAmongMembers("gap " + std::to_string(next_offset));
  if (now < *this->due_since + kRegularSnapshotWait + kRankDelay * rank) {
    return;
  }
  // Leaves time to read this snapshot back before another is appended.
  this->due_since = now;
  LogEvent(LogLevel::kWarning, "bridging_log_gap",
           {{"held", std::to_string(next_offset)},
            {"first_kept", std::to_string(gap->first_kept_offset)}});
  for (const Record& record : MakeSnapshotRecords(
           SkipLogGap(this->context.fleet, *gap), this->context.settings.name,
           SnapshotKind::kBridge)) {
    this->log.AppendUntilApplied(record, [] {});
  }
}

}  // namespace parsleyquay
