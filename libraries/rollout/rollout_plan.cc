#include "rollout/rollout_plan.h"

#include <algorithm>

namespace parsleyquay {

namespace {

// The first requests show a version that is bad at once.
constexpr double kFirstShare = 0.04;
// Limits the part of the requests that depends on one server.
constexpr double kMaxLoadShare = 0.34;
// The largest share for instances that have credit, while few have.
constexpr double kMaxShare = 0.95;

// How long one server is tried under load. Queues build up within about two
// service times.
constexpr Duration kLoadWindow = milliseconds(1'200);
// A trial begins in the first part of a window, to last for the most of it,
// with enough credit for this part, and ends when the credit is used up.
constexpr double kLatestBegin = 0.35;
constexpr double kMinCreditPart = 0.7;
constexpr double kUsedUpPart = 0.1;

}  // namespace

double TrialShare(const RolloutPlan& plan, const TrialTraffic& traffic) {
  if (traffic.new_servers == 0) {
    return 0;
  }
  if (ToSeconds(traffic.elapsed) <
      plan.load_from * ToSeconds(traffic.duration)) {
    return kFirstShare;
  }
  const double load_share =
      std::min(kMaxLoadShare, 1 / static_cast<double>(traffic.new_servers));
  const double window_requests =
      load_share * traffic.requests_per_second * ToSeconds(kLoadWindow);
  const double window_position =
      ToSeconds(traffic.elapsed % kLoadWindow) / ToSeconds(kLoadWindow);
  const bool is_under_load = traffic.current_share > kFirstShare;
  const bool may_try =
      is_under_load ? traffic.credit >= kUsedUpPart * window_requests
                    : window_position <= kLatestBegin &&
                          traffic.credit >= kMinCreditPart * window_requests;
  if (!may_try) {
    return kFirstShare;
  }
  const double with_credit = std::clamp(
      traffic.credit / static_cast<double>(std::max(1L, traffic.instances)),
      load_share / kMaxShare, 1.);
  return std::max(kFirstShare * 1.01, load_share / with_credit);
}

std::optional<std::string> ServerUnderLoad(
    const RolloutStatus& status,
    Duration elapsed,
    const std::vector<std::string>& servers) {
  if (servers.empty() || status.phase != RolloutPhase::kTrial ||
      status.share <= kFirstShare) {
    return std::nullopt;
  }
  const auto window = static_cast<std::size_t>(elapsed / kLoadWindow);
  return servers[window % servers.size()];
}

VersionChoice ChooseVersion(const std::optional<RolloutStatus>& status,
                            Duration confirmed_age,
                            const ExposureAccount& account,
                            const ExposureBound& bound,
                            double sample) {
  if (!status) {
    return VersionChoice::kOld;
  }
  const bool is_confirmed = confirmed_age <= kStatusLifetime;
  const bool is_chosen = sample < status->share;
  switch (status->phase) {
    case RolloutPhase::kTrial:
      return is_confirmed && is_chosen && MayExpose(account, bound)
                 ? VersionChoice::kNew
                 : VersionChoice::kOld;
    case RolloutPhase::kSwitching: {
      const bool has_credit = MayExpose(account, bound, kSwitchPart);
      // Without news the rollout may have been completed, so that the old
      // servers are gone, or rolled back.
      if (!is_confirmed) {
        return has_credit ? VersionChoice::kOldOrNew : VersionChoice::kOld;
      }
      return status->share >= 1 || (is_chosen && has_credit)
                 ? VersionChoice::kNew
                 : VersionChoice::kOld;
    }
    case RolloutPhase::kStopping:
    case RolloutPhase::kRolledBack:
      return VersionChoice::kOld;
    case RolloutPhase::kCompleted:
      return VersionChoice::kNew;
  }
  return VersionChoice::kOld;
}

}  // namespace parsleyquay
