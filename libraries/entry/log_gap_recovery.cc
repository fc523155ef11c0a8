#include "entry/log_gap_recovery.h"

#include "fleet/snapshot.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(500);
// Time for a regular snapshot by an instance that read the records.
constexpr Duration kPatience = seconds(5);
constexpr Duration kStagger = seconds(2);

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
  const std::uint64_t held = this->context.fleet.next_offset;
  const long rank =
      this->context.RankAmongMembers("gap " + std::to_string(held));
  if (now < *this->due_since + kPatience + kStagger * rank) {
    return;
  }
  this->due_since = now;  // Not again before this one is read back.
  LogEvent(LogLevel::kWarning, "bridging_log_gap",
           {{"held", std::to_string(held)},
            {"first_kept", std::to_string(gap->first_kept_offset)}});
  for (const Record& record : MakeSnapshotRecords(
           SkipLogGap(this->context.fleet, *gap), this->context.settings.name,
           SnapshotKind::kBridge)) {
    this->log.AppendUntilApplied(record, [] {});
  }
}

}  // namespace parsleyquay
