#ifndef PARSLEYQUAY_UTILITIES_MEASURE_MERGE_REPETITIONS_H_
#define PARSLEYQUAY_UTILITIES_MEASURE_MERGE_REPETITIONS_H_

#include <vector>

#include "measure.h"

namespace parsleyquay {

// One list of figures out of several repetitions of the same measure: each
// figure and each baseline is the median, and `runs` holds every value. Figures
// that some repetition lacks keep the values of the others.
Measurements MergeRepetitions(const std::vector<Measurements>& repetitions);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_MEASURE_MERGE_REPETITIONS_H_
