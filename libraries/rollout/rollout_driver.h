#ifndef PARSLEYQUAY_ROLLOUT_ROLLOUT_DRIVER_H_
#define PARSLEYQUAY_ROLLOUT_ROLLOUT_DRIVER_H_

#include "rollout/rollout_plan.h"
#include "rollout/rollout_status.h"
#include "rollout/version_evidence.h"

namespace parsleyquay {

// What the driver knows when it decides on the next status.
struct RolloutSituation {
  Duration elapsed = Duration(0);  // since the rollout request
  // Since the phase or the share has changed.
  Duration in_status = Duration(0);
  std::size_t new_servers = 0;  // that may receive requests
  VersionComparison comparison;
  ExposureBound bound;

  bool operator==(const RolloutSituation&) const = default;
};

// Returns the next status of a rollout, or `status` itself if nothing changes.
// The driver applies kStopping and kSwitching at once and writes them to the
// store meanwhile. After kStopping it writes kRolledBack. In the status
// kSwitching with share 1, `completed` is written only when the requests at the
// old servers have ended, because these stop when they read it.
RolloutStatus NextStatus(const RolloutStatus& status,
                         const RolloutSituation& situation,
                         const RolloutPlan& plan = {});

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ROLLOUT_ROLLOUT_DRIVER_H_
