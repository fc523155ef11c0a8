#ifndef PARSLEYQUAY_UTILITIES_MEASURE_RATE_BASELINES_H_
#define PARSLEYQUAY_UTILITIES_MEASURE_RATE_BASELINES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.h"
#include "experiment/load_generator.h"

namespace parsleyquay {

// Returns how many of a stream's requests would be refused by a single token
// bucket that sees all of them.
std::size_t CountSingleBucketRefusals(const std::vector<LoadResult>& results,
                                      double rate_per_second,
                                      double burst);

// Returns how many would be refused if each of `instances` instances enforced
// an even part of the rate and the burst on the requests that it received.
std::size_t CountEvenSplitRefusals(const std::vector<LoadResult>& results,
                                   double rate_per_second,
                                   double burst,
                                   int instances);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_MEASURE_RATE_BASELINES_H_
