#ifndef PARSLEYQUAY_UTILITIES_MEASURE_MEASURE_H_
#define PARSLEYQUAY_UTILITIES_MEASURE_MEASURE_H_

#include <string>
#include <vector>

#include "experiment/profile.h"

namespace parsleyquay {

// A reference value for a measurement, in the unit of the measurement: a goal,
// a bound, or a baseline that was measured in the same run.
struct Comparison {
  std::string name;
  double value = 0;

  bool operator==(const Comparison&) const = default;
};

// One measured value; the median if the measurement was repeated.
struct Measurement {
  std::string subject;  // the profile, request rate or size that was measured
  std::string name;
  double value = 0;
  std::string unit;
  std::vector<Comparison> comparisons;
  std::vector<double> runs = {};  // value of each repetition, ascending

  bool operator==(const Measurement&) const = default;
};

using Measurements = std::vector<Measurement>;

// Measures the latency that one instance adds, compared to direct calls of the
// backend servers. Returns an empty list if the fleet does not start.
Measurements MeasureLatency(unsigned seed);

// Measures one organisation's profile, among others how soon faulty servers are
// detected, how well the worst-served workspace is served next to a noisy
// neighbour, how many requests within the rate limit are refused, and what the
// withdrawal and the return of a failure domain cost. `only` names the one part
// to measure; "" measures all parts. Returns an empty list if the fleet does
// not start.
Measurements MeasureProfile(const Profile& profile,
                            unsigned seed,
                            const std::string& only);

// Returns the names of the parts that MeasureProfile() accepts, separated by
// commas.
std::string ProfilePartNames();
bool IsProfilePart(const std::string& name);

// Measures the time that the owner of a service takes to apply one report and
// to evaluate the health of `servers` backend servers, all of which fail now
// and then.
Measurements MeasureHealthEvaluation(int servers);

// Measures what the control plane costs by number of backend servers,
// instances, workspaces and routes. Prints each measurement to standard error
// when it is taken. The seed is not used.
Measurements MeasureCapacity(unsigned seed);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_MEASURE_MEASURE_H_
