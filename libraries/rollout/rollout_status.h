#ifndef PARSLEYQUAY_ROLLOUT_ROLLOUT_STATUS_H_
#define PARSLEYQUAY_ROLLOUT_ROLLOUT_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// An operator's request to move the traffic of a service to the servers of
// another version before `duration` has elapsed.
struct RolloutRequest {
  std::string service;
  std::string to_version;
  Duration duration = Duration(0);

  bool operator==(const RolloutRequest&) const = default;
};

// The phases of a rollout. All but the last two stand for the state `running`
// of the status record.
enum class RolloutPhase {
  kTrial,      // the new version gets a part of the requests
  kSwitching,  // proven; the requests move from the old to the new version
  kStopping,   // not good enough; no further requests to the new version
  kCompleted,
  kRolledBack,
};

// The state of the rollout of one service. The driver writes it to the store,
// and digests carry it to all instances.
struct RolloutStatus {
  std::string service;
  std::string to_version;
  // Counts the rollouts of the service, and the statuses of one rollout.
  std::uint64_t number = 0;
  std::uint64_t step = 0;
  RolloutPhase phase = RolloutPhase::kTrial;
  double share = 0;  // of the requests that go to the new version
  Duration duration = Duration(0);
  Duration elapsed = Duration(0);  // since the rollout request, when written
  long instances = 1;              // among which the exposure is divided
  // Requests of the service, and those of them that the new version got, as far
  // as the driver has heard of them.
  long requests = 0;
  long exposed = 0;
  // The other versions that were listed when the rollout began. Their servers
  // stop when it is completed.
  std::vector<std::string> old_versions;
  std::string driver;  // name of the instance that wrote it
  std::string reason;  // of the newest change of phase

  bool operator==(const RolloutStatus&) const = default;
};

bool IsTerminal(RolloutPhase phase);

// Returns the status that holds if both are known. A later rollout replaces an
// earlier one. Within one rollout, a terminal status is final, kStopping
// replaces the other phases, and otherwise the higher step counts. Two
// different terminal statuses of one rollout do not occur while the store keeps
// its records; `known` is kept then.
const RolloutStatus& MergeStatuses(const RolloutStatus& known,
                                   const RolloutStatus& told);

// Returns the status with which a requested rollout begins. `known` is the
// newest status of the service. Returns std::nullopt if the request names the
// rollout that `known` describes.
std::optional<RolloutStatus> BeginRollout(
    const RolloutRequest& request,
    const std::optional<RolloutStatus>& known,
    long instances);

// Names of the phases in log lines, metrics and the status record.
std::string_view RolloutPhaseName(RolloutPhase phase);
std::optional<RolloutPhase> ParseRolloutPhase(std::string_view name);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ROLLOUT_ROLLOUT_STATUS_H_
