#ifndef PARSLEYQUAY_ENTRY_SNAPSHOT_SCHEDULER_H_
#define PARSLEYQUAY_ENTRY_SNAPSHOT_SCHEDULER_H_

#include "entry/entry_context.h"
#include "entry/fleet_log_replica.h"
#include "event/timer.h"

namespace parsleyquay {

// Appends snapshots of the fleet's state to the log before the log drops the
// records that they summarize. Every instance checks whether one is due. The
// instance that ranks first appends it at once, the others only after a delay
// that grows with their rank; the ranking differs for each snapshot.
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
