#ifndef PARSLEYQUAY_ROLLOUT_ROLLOUT_PLAN_H_
#define PARSLEYQUAY_ROLLOUT_ROLLOUT_PLAN_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "rollout/exposure_account.h"
#include "rollout/rollout_status.h"

namespace parsleyquay {

// The points of a rollout, as fractions of its duration.
struct RolloutPlan {
  double load_from = 0.2;     // servers are tried under load from here on
  double decide_from = 0.66;  // a version without any sign of a fault is proven
  double decide_until = 0.8;  // from here on less evidence is enough
  double give_up_from = 0.92;  // a version that is not proven is rolled back

  bool operator==(const RolloutPlan&) const = default;
};

// What the share in the trial phase depends on.
struct TrialTraffic {
  Duration elapsed = Duration(0);  // since the rollout request
  Duration duration = Duration(0);
  double requests_per_second = 0;  // of the service
  double credit = 0;   // requests that may be sent to the new version now
  long instances = 1;  // that have a part of the credit
  std::size_t new_servers = 0;
  double current_share = 0;

  bool operator==(const TrialTraffic&) const = default;
};

// Returns the share of the requests that the new version is to get in the trial
// phase: a small one first, which shows a version that is bad at once, and then
// in intervals as much as one server will get after the rollout, as often as
// the credit permits. Instances without credit send none, so that the share is
// higher for the others.
double TrialShare(const RolloutPlan& plan, const TrialTraffic& traffic);

// Returns the server that is tried under load now, if the share is one at which
// that is done: it gets the whole share. One server after the other is tried,
// and all instances choose the same one. Returns std::nullopt if the share goes
// to all servers, or there are none. `servers` must be sorted.
std::optional<std::string> ServerUnderLoad(
    const RolloutStatus& status,
    Duration elapsed,
    const std::vector<std::string>& servers);

// To which servers of a service a request may be sent.
enum class VersionChoice {
  kAny,       // no rollout
  kOld,       // all but the new version
  kNew,       // the new version only
  kOldOrNew,  // old servers if there are any
};

// How long a status is valid after its driver has last confirmed it. Shorter
// than the time in which a rollback must reach every instance, and long enough
// for the loss of two digests.
constexpr Duration kStatusLifetime = milliseconds(2'200);

// Returns the versions that a request may be sent to. `status` is unset if only
// the rollout request is known. `confirmed_age` is the time since the driver
// confirmed the status, and `sample` a random number in [0, 1).
VersionChoice ChooseVersion(const std::optional<RolloutStatus>& status,
                            Duration confirmed_age,
                            const ExposureAccount& account,
                            const ExposureBound& bound,
                            double sample);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ROLLOUT_ROLLOUT_PLAN_H_
