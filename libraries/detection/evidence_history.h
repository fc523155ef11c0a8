#ifndef PARSLEYQUAY_DETECTION_EVIDENCE_HISTORY_H_
#define PARSLEYQUAY_DETECTION_EVIDENCE_HISTORY_H_

#include <vector>

#include "base/clock.h"
#include "detection/evidence.h"

namespace parsleyquay {

// Counts of one kind of fault. A mark is one observation: an error, a slow mark
// or a success. A slow request may add several slow marks.
struct FaultCount {
  double bad_marks = 0;  // errors or slow marks
  double total_marks = 0;
  double bad_requests = 0;  // requests that show the fault

  bool operator==(const FaultCount&) const = default;
};

// Counts of both kinds of fault over the same period.
struct FaultCounts {
  FaultCount errors;
  FaultCount slowness;

  bool operator==(const FaultCounts&) const = default;
};

FaultCounts operator+(const FaultCounts& one, const FaultCounts& other);
FaultCounts operator-(const FaultCounts& whole, const FaultCounts& part);

// Counts of one server for a period of kSliceLength. Slices of all servers are
// aligned to multiples of kSliceLength, so that sums over the same windows can
// be compared.
struct EvidenceSlice {
  TimePoint from;  // start of the period
  FaultCounts counts;

  bool operator==(const EvidenceSlice&) const = default;
};

// Counts of one server that decay exponentially with kDecayTimeConstant.
struct DecayingEvidence {
  FaultCounts counts;    // as of `counted_at`
  TimePoint counted_at;  // time of the last update

  bool operator==(const DecayingEvidence&) const = default;
};

// Returns the counts decayed to `now`.
FaultCounts DecayedCounts(const DecayingEvidence& recent, TimePoint now);

// The evidence on one server.
struct EvidenceHistory {
  std::vector<EvidenceSlice>
      slices;  // of the last kEvidenceRetention, in order
  DecayingEvidence recent;

  bool operator==(const EvidenceHistory&) const = default;
};

constexpr Duration kSliceLength = milliseconds(100);
// Age at which slices are dropped.
constexpr Duration kEvidenceRetention = seconds(4);
// Time in which the weight of recent evidence falls to 1/e. At a constant rate
// of requests the decayed counts equal the counts of one such period.
constexpr Duration kDecayTimeConstant = seconds(30);

// Adds a report's evidence, as observed at `now`, and drops old slices.
EvidenceHistory AddEvidence(EvidenceHistory history,
                            const ServerEvidence& evidence,
                            TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DETECTION_EVIDENCE_HISTORY_H_
