#ifndef PARSLEYQUAY_ENTRY_LOG_GAP_RECOVERY_H_
#define PARSLEYQUAY_ENTRY_LOG_GAP_RECOVERY_H_

#include <optional>

#include "entry/entry_context.h"
#include "entry/fleet_log_replica.h"
#include "event/timer.h"

namespace parsleyquay {

// Lets the fleet continue after the log has dropped records that no majority of
// the members had read: appends a bridge snapshot, which leaves them out. If an
// instance has read them and can reach the log, its regular snapshot comes
// first and no bridge snapshot is needed.
class LogGapRecovery {
 public:
  LogGapRecovery(EntryContext& context, FleetLogReplica& log);

  void Start();

 private:
  void Tick();

  EntryContext& context;
  FleetLogReplica& log;
  Timer timer;
  std::optional<TimePoint> due_since;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_LOG_GAP_RECOVERY_H_
