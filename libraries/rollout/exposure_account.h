#ifndef PARSLEYQUAY_ROLLOUT_EXPOSURE_ACCOUNT_H_
#define PARSLEYQUAY_ROLLOUT_EXPOSURE_ACCOUNT_H_

#include <cstdint>

namespace parsleyquay {

// The bound on the requests that a version gets before it is proven, summed
// over all instances.
struct ExposureBound {
  double share = 0;  // of the requests of the service
  double slack = 0;  // further requests

  bool operator==(const ExposureBound&) const = default;
};

// What one instance has counted since it learned of a rollout.
struct ExposureAccount {
  long requests = 0;  // of the service, without second attempts
  long exposed = 0;   // attempts at servers of the new version
  // This instance's fraction of the slack, and the fraction of a request by
  // which its credit is rounded up.
  double slack_part = 0;
  double rounding = 0;

  bool operator==(const ExposureAccount&) const = default;
};

// Returns an empty account of the instance with the given rank, from 0, among
// `instances`. The slack is divided evenly. Few instances get a whole request
// of it, so that each rounds its credit up by a fraction that depends on its
// rank; the fractions are spread evenly, and their sum over all instances is
// that of rounding to the nearest. An instance that learned of the rollout
// late, such as one that has restarted and lost its count, gets neither.
ExposureAccount OpenExposureAccount(std::uint64_t rank,
                                    long instances,
                                    bool is_late);

// The parts of the bound that may be used before the version is proven, and
// while the first requests move to it. The rest is for a version that turns bad
// while all requests move, and for instances that restart and lose their count.
constexpr double kTrialPart = 0.75;
constexpr double kSwitchPart = 0.95;

// Returns whether the instance may send one more request to the new version if
// `part` of the bound may be used. Depends only on what the instance has
// counted itself, so that the bound holds without any message.
bool MayExpose(const ExposureAccount& account,
               const ExposureBound& bound,
               double part = kTrialPart);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ROLLOUT_EXPOSURE_ACCOUNT_H_
