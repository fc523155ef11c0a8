#ifndef PARSLEYQUAY_UTILITIES_MEASURE_RATE_BASELINES_H_
#define PARSLEYQUAY_UTILITIES_MEASURE_RATE_BASELINES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.h"
#include "experiment/load_generator.h"

namespace parsleyquay {

// How many of a stream's requests one bucket that sees all of them refuses.
std::size_t CountSingleBucketRefusals(const std::vector<LoadResult>& results,
                                      double rate_per_second,
                                      double burst);

// How many are refused when each of `instances` instances holds an even part
// of rate and burst and requests go where they went.
std::size_t CountEvenSplitRefusals(const std::vector<LoadResult>& results,
                                   double rate_per_second,
                                   double burst,
                                   int instances);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_MEASURE_RATE_BASELINES_H_
