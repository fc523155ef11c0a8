#ifndef PARSLEYQUAY_UTILITIES_MEASURE_MERGE_REPETITIONS_H_
#define PARSLEYQUAY_UTILITIES_MEASURE_MERGE_REPETITIONS_H_

#include <vector>

#include "measure.h"

namespace parsleyquay {

// Merges the measurements of several repetitions. The value of each measurement
// and of each comparison is the median, and `runs` holds all values. A
// measurement that some repetitions lack is merged from the others.
Measurements MergeRepetitions(const std::vector<Measurements>& repetitions);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_MEASURE_MERGE_REPETITIONS_H_
