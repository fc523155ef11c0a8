#ifndef PARSLEYQUAY_ENTRY_SNAPSHOT_KEEPER_H_
#define PARSLEYQUAY_ENTRY_SNAPSHOT_KEEPER_H_

#include "entry/entry_context.h"
#include "entry/log_follower.h"
#include "event/timer.h"

namespace parsleyquay {

// Appends snapshots of the fleet's state to the log before the log drops the
// records that they summarize. Every instance checks whether one is due. The
// instance that ranks first appends it at once, the others only after a delay
// that grows with their rank; the ranking differs for each snapshot.
class SnapshotKeeper {
 public:
  SnapshotKeeper(EntryContext& context, LogFollower& log);

  void Start();

 private:
  void Tick();
  bool IsDue() const;

  EntryContext& context;
  LogFollower& log;
  Timer timer;
  std::optional<TimePoint> due_since;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_SNAPSHOT_KEEPER_H_
