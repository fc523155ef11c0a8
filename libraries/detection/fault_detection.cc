#include "detection/fault_detection.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace parsleyquay {

namespace {

// A fault must show for this long, so that the other servers have had time to
// show the same one. The first slice may have begun just before the fault.
constexpr Duration kLeastWindow = milliseconds(400) + kSliceLength;

// What the best of several windows and rates adds to the score by chance.
constexpr double kChoiceScore = 2;
// A healthy server may be convicted by chance once in this time.
constexpr Duration kMeanTimeBetweenFalseFindings = seconds(3'600);
// One request alone, however slow, convicts no server.
constexpr double kLeastBadRequests = 2;
// The others' rate counts for more than was seen, with room for chance.
constexpr double kCommonFactor = 1.5;
constexpr double kCommonFaultRate = 0.5;  // beyond this the service is at fault
constexpr double kMostFaultyRate = 0.95;
// What is expected of servers, where little has been seen.
struct Expectation {
  FaultKind kind = FaultKind::kErrors;
  FaultCount FaultCounts::*count = nullptr;
  double least_common_rate = 0;  // of a healthy server
  double least_faulty_rate = 0;  // of a faulty one
};

constexpr Expectation kErrorExpectation{FaultKind::kErrors,
                                        &FaultCounts::errors, 0.0005, 0.05};
constexpr Expectation kSlownessExpectation{FaultKind::kSlowness,
                                           &FaultCounts::slowness, 0.02, 0.3};

// Before anything was seen, healthy servers are held to show one bad request
// in so many.
constexpr double kPriorRequests = 500;

double RateOf(const FaultCount& count) {
  return count.total_marks > 0 ? count.bad_marks / count.total_marks : 0;
}

// What all servers together showed from the start of each slice on.
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

// The score that chance reaches once in kMeanTimeBetweenFalseFindings. Each bad
// request of a healthy server begins a new series of windows, and a likelihood
// ratio of e^s comes about by chance in at most e^-s of the series (Ville's
// inequality). So the more bad requests the others show, the more it takes.
double LeastScore(double others_bad_requests) {
  const double series =
      (others_bad_requests + 1) *
      static_cast<double>(kMeanTimeBetweenFalseFindings / kDecayTimeConstant);
  return kChoiceScore + std::log(series);
}

// How much likelier the counts are at the rate of a faulty server than at
// that of a healthy one.
double ScoreOf(const FaultCount& own,
               double others_rate,
               const Expectation& expectation) {
  const double common =
      std::max(expectation.least_common_rate, others_rate * kCommonFactor);
  const double faulty =
      std::clamp(RateOf(own), expectation.least_faulty_rate, kMostFaultyRate);
  if (common >= kCommonFaultRate || faulty <= common) {
    return 0;
  }
  return own.bad_marks * std::log(faulty / common) +
         (own.total_marks - own.bad_marks) *
             std::log((1 - faulty) / (1 - common));
}

// Judges one server by all windows that begin with a bad request: any other
// window gives less against it than the next shorter one. The other servers
// count all together; leaving out those that look faulty too would keep the
// luckier ones of a service that turns bad as a whole.
std::optional<FaultFinding> FindStrongest(const EvidenceHistory& history,
                                          const SumsSince& service,
                                          const FaultCounts& recent_others,
                                          const Expectation& expectation,
                                          TimePoint now) {
  const FaultCount& others_recent = recent_others.*expectation.count;
  // With one bad request added, as none seen in a while does not mean never.
  const double recent_rate = (others_recent.bad_marks + 1) /
                             (others_recent.total_marks + kPriorRequests);
  const double least_score = LeastScore(others_recent.bad_requests);
  std::optional<FaultFinding> strongest;
  FaultCounts since;
  for (auto slice = history.slices.rbegin(); slice != history.slices.rend();
       ++slice) {
    since = since + slice->counts;
    const FaultCount& own = since.*expectation.count;
    const Duration window = now - slice->from;
    const bool is_candidate =
        (slice->counts.*expectation.count).bad_marks > 0 &&
        own.bad_requests >= kLeastBadRequests && window >= kLeastWindow &&
        window <= kEvidenceRetention;
    if (!is_candidate) {
      continue;
    }
    const FaultCounts others = service.at(slice->from) - since;
    // A short window may happen to show no fault of the others.
    const double others_rate =
        std::max(RateOf(others.*expectation.count), recent_rate);
    const double score = ScoreOf(own, others_rate, expectation);
    const bool is_stronger = !strongest || score > strongest->score;
    if (score >= least_score && is_stronger) {
      strongest = {expectation.kind, window, own, others_rate, score};
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
    for (const Expectation& expectation :
         {kErrorExpectation, kSlownessExpectation}) {
      const auto finding =
          FindStrongest(history, sums.since, recent_others, expectation, now);
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
