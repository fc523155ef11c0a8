#include "allowance/spare_share.h"

namespace parsleyquay {

namespace {

// Fraction of the tolerance that is handed out as quotas. The rest covers
// requests that run twice and requests that arrive closer together than they
// were admitted.
constexpr double kQuotaFraction = 0.75;

// Requests may arrive at the backend servers closer together than they were
// admitted, by up to this much.
constexpr Duration kArrivalJitter = milliseconds(300);

}  // namespace

long SpareRequests(const WorkspaceTerms& terms,
                   const AllowanceTolerance& tolerance,
                   std::size_t rank,
                   std::size_t instances) {
  const double window = ToSeconds(tolerance.window);
  const double limit = terms.requests_per_second * window + terms.burst;
  const double total_quota =
      (limit * tolerance.overshoot + tolerance.slack) * kQuotaFraction;
  return WholeShare(total_quota, rank, instances);
}

bool TakeSpare(SlidingWindow& used,
               long quota,
               Duration window,
               TimePoint now) {
  return TakeFromWindow(used, quota, window + kArrivalJitter, now);
}

}  // namespace parsleyquay
