#include "detection/fault_detection.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace parsleyquay {

namespace {

// Minimum length of the window that shows a fault, so that the other servers
// had time to show it too if they share it. One slice is added because the
// window's first slice may have begun just before the fault.
constexpr Duration kMinWindow = milliseconds(400) + kSliceLength;

// Added to the required score, because the maximum over several windows and
// rates exceeds the score of a single one by chance.
constexpr double kMultipleTestingScore = 2;
// Accepted mean time between false findings of one service.
constexpr Duration kMeanTimeBetweenFalseFindings = seconds(3'600);
// A single request, however slow, is not enough for a finding.
constexpr double kMinBadRequests = 2;
// The other servers' rate is multiplied by this as a margin for sampling error.
constexpr double kCommonRateMargin = 1.5;
// From this common rate on a fault is attributed to the service.
constexpr double kMaxCommonRate = 0.5;
constexpr double kMaxFaultyRate = 0.95;

// Lower bounds of the fault rates that are compared. With few requests the
// observed rates may be near 0.
struct RateBounds {
  FaultKind kind = FaultKind::kErrors;
  FaultCount FaultCounts::*count = nullptr;
  double min_common_rate = 0;  // lower bound for a healthy server
  double min_faulty_rate = 0;  // lower bound for a faulty server
};

constexpr RateBounds kErrorRateBounds{FaultKind::kErrors, &FaultCounts::errors,
                                      0.0005, 0.05};
constexpr RateBounds kSlownessRateBounds{FaultKind::kSlowness,
                                         &FaultCounts::slowness, 0.02, 0.3};

// Prior for the other servers' rate: one bad request in this many.
constexpr double kPriorRequests = 500;

double RateOf(const FaultCount& count) {
  return count.total_marks > 0 ? count.bad_marks / count.total_marks : 0;
}

// Counts of all servers of a service from the start of each slice until now, by
// the start of the slice.
using SumsSince = std::map<TimePoint, FaultCounts>;

struct ServiceSums {
  SumsSince since;
  FaultCounts recent;
};

ServiceSums SumService(const ServiceHistory& service, TimePoint now) {
  ServiceSums service_sums;
  SumsSince& sums = service_sums.since;
  for (const auto& [name, history] : service) {
    for (const EvidenceSlice& slice : history.slices) {
      sums[slice.from] = sums[slice.from] + slice.counts;
    }
    service_sums.recent =
        service_sums.recent + DecayedCounts(history.recent, now);
  }
  FaultCounts sum;
  for (auto slice = sums.rbegin(); slice != sums.rend(); ++slice) {
    sum = sum + slice->second;
    slice->second = sum;
  }
  return service_sums;
}

// Returns the score that healthy servers reach by chance about once in
// kMeanTimeBetweenFalseFindings. Each bad request of a healthy server begins a
// new series of windows, and a series reaches a likelihood ratio of e^s with a
// probability of at most e^-s (Ville's inequality). The required score
// therefore grows with the number of bad requests at the other servers.
double RequiredScore(double others_bad_requests) {
  const double series =
      (others_bad_requests + 1) *
      static_cast<double>(kMeanTimeBetweenFalseFindings / kDecayTimeConstant);
  return kMultipleTestingScore + std::log(series);
}

// Returns the logarithm of the likelihood ratio of the counts, for the rate of
// a faulty server against that of a healthy one. Returns 0 if the other servers
// show the fault as well.
double ScoreOf(const FaultCount& own,
               double others_rate,
               const RateBounds& bounds) {
  const double common =
      std::max(bounds.min_common_rate, others_rate * kCommonRateMargin);
  const double faulty =
      std::clamp(RateOf(own), bounds.min_faulty_rate, kMaxFaultyRate);
  if (common >= kMaxCommonRate || faulty <= common) {
    return 0;
  }
  return own.bad_marks * std::log(faulty / common) +
         (own.total_marks - own.bad_marks) *
             std::log((1 - faulty) / (1 - common));
}

// Returns the finding with the highest score for one server, or std::nullopt if
// no window reaches the required score. Only windows whose first slice has a
// bad request are examined, because any other window scores lower than the next
// shorter one. The server is compared with all others, including those that
// look faulty: if the whole service fails, the rest would be those that happen
// to show few bad requests so far.
std::optional<FaultFinding> FindStrongest(const EvidenceHistory& history,
                                          const SumsSince& service,
                                          const FaultCounts& recent_others,
                                          const RateBounds& bounds,
                                          TimePoint now) {
  const FaultCount& others_recent = recent_others.*bounds.count;
  // One bad request is added: a recent count of 0 does not mean a rate of 0.
  const double recent_rate = (others_recent.bad_marks + 1) /
                             (others_recent.total_marks + kPriorRequests);
  const double required_score = RequiredScore(others_recent.bad_requests);
  std::optional<FaultFinding> strongest;
  FaultCounts since;
  for (auto slice = history.slices.rbegin(); slice != history.slices.rend();
       ++slice) {
    since = since + slice->counts;
    const FaultCount& own = since.*bounds.count;
    const Duration window = now - slice->from;
    const bool is_candidate = (slice->counts.*bounds.count).bad_marks > 0 &&
                              own.bad_requests >= kMinBadRequests &&
                              window >= kMinWindow &&
                              window <= kEvidenceRetention;
    if (!is_candidate) {
      continue;
    }
    const FaultCounts others = service.at(slice->from) - since;
    // A short window may by chance contain no bad request of the others.
    const double others_rate =
        std::max(RateOf(others.*bounds.count), recent_rate);
    const double score = ScoreOf(own, others_rate, bounds);
    const bool is_stronger = !strongest || score > strongest->score;
    if (score >= required_score && is_stronger) {
      strongest = {bounds.kind, window, own, others_rate, score};
    }
  }
  return strongest;
}

}  // namespace

std::string ToString(FaultKind kind) {
  return kind == FaultKind::kErrors ? "errors" : "slowness";
}

std::map<std::string, FaultFinding> FindFaults(const ServiceHistory& service,
                                               TimePoint now) {
  const ServiceSums sums = SumService(service, now);
  std::map<std::string, FaultFinding> findings;
  for (const auto& [name, history] : service) {
    const FaultCounts recent_others =
        sums.recent - DecayedCounts(history.recent, now);
    for (const RateBounds& bounds : {kErrorRateBounds, kSlownessRateBounds}) {
      const auto finding =
          FindStrongest(history, sums.since, recent_others, bounds, now);
      const auto known = findings.find(name);
      const bool is_stronger =
          finding &&
          (known == findings.end() || finding->score > known->second.score);
      if (is_stronger) {
        findings.insert_or_assign(name, *finding);
      }
    }
  }
  return findings;
}

}  // namespace parsleyquay
