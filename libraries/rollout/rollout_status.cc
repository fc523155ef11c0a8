#include "rollout/rollout_status.h"

#include <algorithm>
#include <array>
#include <utility>

namespace parsleyquay {

namespace {

using PhaseName = std::pair<RolloutPhase, std::string_view>;

constexpr std::array<PhaseName, 5> kPhaseNames = {
    {{RolloutPhase::kTrial, "trial"},
     {RolloutPhase::kSwitching, "switching"},
     {RolloutPhase::kStopping, "stopping"},
     {RolloutPhase::kCompleted, "completed"},
     {RolloutPhase::kRolledBack, "rolled_back"}}};

}  // namespace

bool IsTerminal(RolloutPhase phase) {
  return phase == RolloutPhase::kCompleted ||
         phase == RolloutPhase::kRolledBack;
}

const RolloutStatus& MergeStatuses(const RolloutStatus& known,
                                   const RolloutStatus& told) {
  if (told.number != known.number) {
    return told.number > known.number ? told : known;
  }
  const bool is_known_terminal = IsTerminal(known.phase);
  if (is_known_terminal || IsTerminal(told.phase)) {
    return is_known_terminal ? known : told;
  }
  const bool is_known_stopping = known.phase == RolloutPhase::kStopping;
  if (is_known_stopping != (told.phase == RolloutPhase::kStopping)) {
    return is_known_stopping ? known : told;
  }
  return told.step > known.step ? told : known;
}

std::optional<RolloutStatus> BeginRollout(
    const RolloutRequest& request,
    const std::optional<RolloutStatus>& known,
    long instances) {
  if (known && known->to_version == request.to_version) {
    return std::nullopt;
  }
  return RolloutStatus{.service = request.service,
                       .to_version = request.to_version,
                       .number = known ? known->number + 1 : 1,
                       .step = 1,
                       .duration = request.duration,
                       .instances = std::max(1L, instances),
                       .reason = "requested"};
}

std::string_view RolloutPhaseName(RolloutPhase phase) {
  return std::ranges::find(kPhaseNames, phase, &PhaseName::first)->second;
}

std::optional<RolloutPhase> ParseRolloutPhase(std::string_view name) {
  const auto found = std::ranges::find(kPhaseNames, name, &PhaseName::second);
  return found == kPhaseNames.end() ? std::nullopt
                                    : std::optional(found->first);
}

}  // namespace parsleyquay
