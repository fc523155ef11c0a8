#ifndef PARSLEYQUAY_DETECTION_EVIDENCE_HISTORY_H_
#define PARSLEYQUAY_DETECTION_EVIDENCE_HISTORY_H_

#include <vector>

#include "base/clock.h"
#include "detection/evidence.h"

namespace parsleyquay {

// Bad requests among all that were judged.
struct FaultCount {
  double bad_marks = 0;
  double total_marks = 0;
  double bad_requests = 0;  // `bad_marks` may count one request more than once

  bool operator==(const FaultCount&) const = default;
};

// Both ways in which a server may be at fault, counted over the same time.
struct FaultCounts {
  FaultCount errors;
  FaultCount slowness;

  bool operator==(const FaultCounts&) const = default;
};

FaultCounts operator+(const FaultCounts& one, const FaultCounts& other);
FaultCounts operator-(const FaultCounts& whole, const FaultCounts& part);

// What requests to one server showed during a short time. All servers' slices
// begin at the same moments, so that their sums can be compared.
struct EvidenceSlice {
  TimePoint from;
  FaultCounts counts;

  bool operator==(const EvidenceSlice&) const = default;
};

// What about the last half minute showed: older requests count less and less.
struct DecayingEvidence {
  FaultCounts counts;
  TimePoint counted_at;

  bool operator==(const DecayingEvidence&) const = default;
};

// What is left of the counts at a later time.
FaultCounts DecayedCounts(const DecayingEvidence& recent, TimePoint now);

// The evidence on one server.
struct EvidenceHistory {
  std::vector<EvidenceSlice> slices;  // the last seconds, oldest first
  DecayingEvidence recent;

  bool operator==(const EvidenceHistory&) const = default;
};

constexpr Duration kSliceLength = milliseconds(100);
// Older evidence is forgotten.
constexpr Duration kEvidenceRetention = seconds(4);
// In this time the weight of recent evidence falls to 1/e, so that its sum is
// what one such time brings.
constexpr Duration kDecayTimeConstant = seconds(30);

EvidenceHistory AddEvidence(EvidenceHistory history,
                            const ServerEvidence& evidence,
                            TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_EVIDENCE_HISTORY_H_
