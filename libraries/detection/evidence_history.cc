#include "detection/evidence_history.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

namespace {

FaultCount Combine(const FaultCount& one,
                   const FaultCount& other,
                   double sign) {
  return {one.bad_marks + sign * other.bad_marks,
          one.total_marks + sign * other.total_marks,
          one.bad_requests + sign * other.bad_requests};
}

FaultCount Scale(const FaultCount& count, double factor) {
  return {count.bad_marks * factor, count.total_marks * factor,
          count.bad_requests * factor};
}

TimePoint StartOfSlice(TimePoint time) {
  return time - time.time_since_epoch() % kSliceLength;
}

FaultCounts ToCounts(const ServerEvidence& evidence) {
  const auto errors = static_cast<double>(evidence.errors);
  const auto slow = static_cast<double>(evidence.slow_marks);
  return {{errors, errors + static_cast<double>(evidence.answered), errors},
          {slow, slow + static_cast<double>(evidence.on_time),
           static_cast<double>(evidence.slow_requests)}};
}

}  // namespace

FaultCounts operator+(const FaultCounts& one, const FaultCounts& other) {
  return {Combine(one.errors, other.errors, 1),
          Combine(one.slowness, other.slowness, 1)};
}

FaultCounts operator-(const FaultCounts& whole, const FaultCounts& part) {
  return {Combine(whole.errors, part.errors, -1),
          Combine(whole.slowness, part.slowness, -1)};
}

FaultCounts DecayedCounts(const DecayingEvidence& recent, TimePoint now) {
  const Duration age = now - recent.counted_at;
  const double left = std::exp(-static_cast<double>(age.count()) /
                               static_cast<double>(kDecayTimeConstant.count()));
  return {Scale(recent.counts.errors, left),
          Scale(recent.counts.slowness, left)};
}

EvidenceHistory AddEvidence(EvidenceHistory history,
                            const ServerEvidence& evidence,
                            TimePoint now) {
  const FaultCounts counts = ToCounts(evidence);
  history.recent = {DecayedCounts(history.recent, now) + counts, now};
  std::vector<EvidenceSlice>& slices = history.slices;
  std::erase_if(slices, [&](const EvidenceSlice& slice) {
    return now - slice.from > kEvidenceRetention;
  });
  const TimePoint from = StartOfSlice(now);
  const bool has_current = !slices.empty() && slices.back().from == from;
  if (!has_current) {
    slices.push_back({from, {}});
  }
  EvidenceSlice& slice = slices.back();
  slice.counts = slice.counts + counts;
  return history;
}

}  // namespace parsleyquay
