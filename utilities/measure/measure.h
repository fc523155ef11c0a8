#ifndef PARSLEYQUAY_UTILITIES_MEASURE_MEASURE_H_
#define PARSLEYQUAY_UTILITIES_MEASURE_MEASURE_H_

#include <string>
#include <vector>

#include "experiment/profile.h"

namespace parsleyquay {

// What a figure is held against: an aim, a bound, or a baseline that was
// measured in the same run; in the figure's unit.
struct Comparison {
  std::string name;
  double value = 0;

  bool operator==(const Comparison&) const = default;
};

// One measured figure; the median where runs were repeated.
struct Measurement {
  std::string subject;  // profile or size
  std::string name;
  double value = 0;
  std::string unit;
  std::vector<Comparison> comparisons;
  std::vector<double> runs = {};  // of each repetition, in ascending order

  bool operator==(const Measurement&) const = default;
};

using Measurements = std::vector<Measurement>;

// Latency that one instance adds, against calling the servers directly.
Measurements MeasureLatency(unsigned seed);

// The measures of one organisation's profile: detection, worst-served
// workspace, refusals within the rate, and a failure domain that moves. `only`
// names one part to be measured alone, "" all of them.
Measurements MeasureProfile(const Profile& profile,
                            unsigned seed,
                            const std::string& only);

// The parts of a profile's measures, for a help text.
std::string ProfilePartNames();
bool IsProfilePart(const std::string& name);

// What it costs the home of a service to judge so many backend servers, all of
// them bad now and then.
Measurements MeasureHealthEvaluation(int servers);

// What control costs by the number of instances, workspaces and routes.
Measurements MeasureCapacity(unsigned seed);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_MEASURE_MEASURE_H_
