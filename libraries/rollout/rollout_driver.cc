#include "rollout/rollout_driver.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

namespace {

// Weights of evidence (natural logarithm of the likelihood ratio) from which a
// version is rolled back before the planned decision, and from then on. The
// former is 3,000 to 1, because it is evaluated many times. The latter is
// higher for the last seconds, which hold less evidence.
constexpr double kRollbackWeight = 8;
constexpr double kDecisionWeight = 3;
constexpr double kRecentDecisionWeight = 5.5;
// For the last second, in which two servers may have a spell.
constexpr double kNewestRollbackWeight = 10.5;
constexpr double kNewestDecisionWeight = 7;

// With less evidence a version is not proven: outcomes of the new version for
// the decision, and at its latest time.
constexpr long kEnoughOutcomes = 30;
constexpr long kFewestOutcomes = 10;

// While the requests move, a part of them goes to the new version first, which
// shows a version that is bad under load with fewer requests.
constexpr double kFirstSwitchShare = 0.5;
constexpr Duration kFirstSwitchTime = milliseconds(1'000);
// Until instances have heard of the switch and the requests that were sent to
// old servers before have ended.
constexpr Duration kSwitchTime = milliseconds(1'300);
// The least time after which instances have heard of the switch, and the time
// before the limit in which it is enough.
constexpr Duration kMinSwitchTime = milliseconds(700);
constexpr Duration kLastMoment = milliseconds(700);
// Both steps of the switch, the write, and a margin.
constexpr Duration kWholeSwitchTime =
    kFirstSwitchTime + kSwitchTime + milliseconds(500);

// Smaller changes of the share are not worth a new status.
constexpr double kShareTolerance = 0.1;

RolloutStatus Enter(RolloutStatus status,
                    RolloutPhase phase,
                    double share,
                    std::string reason) {
  ++status.step;
  status.phase = phase;
  status.share = share;
  status.reason = std::move(reason);
  return status;
}

std::string DescribeFault(const VersionComparison& comparison) {
  std::string text = std::to_string(comparison.bad) + " of " +
                     std::to_string(comparison.exposed) +
                     " responses are bad, weight " +
                     std::to_string(std::lround(comparison.worst()));
  if (!comparison.worst_route.empty()) {
    text += ", worst on route " + comparison.worst_route;
  }
  return text;
}

bool IsWorse(const VersionComparison& comparison, bool is_decision) {
  if (!is_decision) {
    return std::max(comparison.whole_time, comparison.recent) >=
               kRollbackWeight ||
           comparison.newest >= kNewestRollbackWeight;
  }
  return comparison.whole_time >= kDecisionWeight ||
         comparison.recent >= kRecentDecisionWeight ||
         comparison.newest >= kNewestDecisionWeight;
}

TrialTraffic TrafficOf(const RolloutStatus& status,
                       const RolloutSituation& situation,
                       const RolloutPlan& plan) {
  const VersionComparison& comparison = situation.comparison;
  const auto exposed = static_cast<double>(comparison.exposed);
  const double requests = static_cast<double>(comparison.compared) + exposed;
  const double elapsed = std::max(1., ToSeconds(situation.elapsed));
  // The slack is spent evenly until the decision, so that a version which turns
  // bad late is seen as well.
  const double slack_part =
      std::min(1., ToSeconds(situation.elapsed) /
                       (plan.decide_from * ToSeconds(status.duration)));
  return {.elapsed = situation.elapsed,
          .duration = status.duration,
          .requests_per_second = requests / elapsed,
          .credit = kTrialPart * (situation.bound.share * requests +
                                  situation.bound.slack * slack_part) -
                    exposed,
          .instances = status.instances,
          .new_servers = situation.new_servers,
          .current_share = status.share};
}

RolloutStatus NextOfTrial(const RolloutStatus& status,
                          const RolloutSituation& situation,
                          const RolloutPlan& plan) {
  const VersionComparison& comparison = situation.comparison;
  const double progress =
      ToSeconds(situation.elapsed) / ToSeconds(status.duration);
  const bool is_decision = progress >= plan.decide_from;
  if (IsWorse(comparison, is_decision)) {
    return Enter(status, RolloutPhase::kStopping, 0, DescribeFault(comparison));
  }
  if (progress >= plan.give_up_from) {
    return Enter(status, RolloutPhase::kStopping, 0, "not proven in time");
  }
  const bool is_last_moment = progress >= plan.decide_until;
  const long needed = is_last_moment ? kFewestOutcomes : kEnoughOutcomes;
  if (is_decision && situation.new_servers > 0 &&
      comparison.exposed >= needed) {
    // A driver that has taken over late leaves out the first step.
    const bool is_late = status.duration - situation.elapsed < kWholeSwitchTime;
    return Enter(status, RolloutPhase::kSwitching,
                 is_late ? 1 : kFirstSwitchShare,
                 "as good as the old version in " +
                     std::to_string(comparison.exposed) + " responses");
  }
  const double share = TrialShare(plan, TrafficOf(status, situation, plan));
  return std::abs(share - status.share) <= kShareTolerance * status.share
             ? status
             : Enter(status, RolloutPhase::kTrial, share, status.reason);
}

RolloutStatus NextOfSwitch(const RolloutStatus& status,
                           const RolloutSituation& situation) {
  if (IsWorse(situation.comparison, status.share < 1)) {
    return Enter(status, RolloutPhase::kStopping, 0,
                 DescribeFault(situation.comparison));
  }
  if (status.share < 1) {
    return situation.in_status < kFirstSwitchTime
               ? status
               : Enter(status, RolloutPhase::kSwitching, 1, status.reason);
  }
  const bool is_late = status.duration - situation.elapsed < kLastMoment;
  return situation.in_status < (is_late ? kMinSwitchTime : kSwitchTime)
             ? status
             : Enter(status, RolloutPhase::kCompleted, 1, status.reason);
}

}  // namespace

RolloutStatus NextStatus(const RolloutStatus& status,
                         const RolloutSituation& situation,
                         const RolloutPlan& plan) {
  switch (status.phase) {
    case RolloutPhase::kTrial:
      return NextOfTrial(status, situation, plan);
    case RolloutPhase::kSwitching:
      return NextOfSwitch(status, situation);
    case RolloutPhase::kStopping:
      return Enter(status, RolloutPhase::kRolledBack, 0, status.reason);
    case RolloutPhase::kCompleted:
    case RolloutPhase::kRolledBack:
      return status;
  }
  return status;
}

}  // namespace parsleyquay
