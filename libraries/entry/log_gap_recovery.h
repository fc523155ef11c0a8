#ifndef PARSLEYQUAY_ENTRY_LOG_GAP_RECOVERY_H_
#define PARSLEYQUAY_ENTRY_LOG_GAP_RECOVERY_H_

#include <optional>

#include "entry/entry_context.h"
#include "entry/fleet_log_replica.h"
#include "event/timer.h"

namespace parsleyquay {

// Gets the fleet past records that the log dropped before a majority had read
// them: appends a snapshot that leaves them out. An instance that did read them
// and has the log at hand appends a regular snapshot long before.
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
