#ifndef PARSLEYQUAY_ENTRY_SNAPSHOT_SCHEDULER_H_
#define PARSLEYQUAY_ENTRY_SNAPSHOT_SCHEDULER_H_

#include "entry/entry_context.h"
#include "entry/fleet_log_replica.h"
#include "event/timer.h"

namespace parsleyquay {

// Appends snapshots before the log drops what they replace. Every instance
// watches; the first in an order that changes with each snapshot acts at once,
// the others only if it does not.
class SnapshotScheduler {
 public:
  SnapshotScheduler(EntryContext& context, FleetLogReplica& log);

  void Start();

 private:
  void Tick();
  bool IsDue() const;

  EntryContext& context;
  FleetLogReplica& log;
  Timer timer;
  std::optional<TimePoint> due_since;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_SNAPSHOT_SCHEDULER_H_
