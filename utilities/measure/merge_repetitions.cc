#include "merge_repetitions.h"

#include <algorithm>
#include <iterator>

#include "base/median.h"

namespace parsleyquay {

namespace {

bool IsSameMeasurement(const Measurement& one, const Measurement& other) {
  return one.subject == other.subject && one.name == other.name;
}

std::vector<Measurement> Collect(const std::vector<Measurements>& repetitions,
                                 const Measurement& wanted) {
  std::vector<Measurement> found;
  for (const Measurements& measurements : repetitions) {
    std::ranges::copy_if(measurements, std::back_inserter(found),
                         [&](const Measurement& measurement) {
                           return IsSameMeasurement(measurement, wanted);
                         });
  }
  return found;
}

Comparison MergeComparison(const std::vector<Measurement>& same,
                           const Comparison& wanted) {
  std::vector<double> values;
  for (const Measurement& measurement : same) {
    const auto found = std::ranges::find(measurement.comparisons, wanted.name,
                                         &Comparison::name);
    if (found != measurement.comparisons.end()) {
      values.push_back(found->value);
    }
  }
  return {wanted.name, MedianOf(std::move(values))};
}

Measurement Merge(const std::vector<Measurement>& same) {
  Measurement merged = same.front();
  merged.runs.clear();
  std::ranges::transform(same, std::back_inserter(merged.runs),
                         &Measurement::value);
  std::ranges::sort(merged.runs);
  merged.value = MedianOf(merged.runs);
  for (Comparison& comparison : merged.comparisons) {
    comparison = MergeComparison(same, comparison);
  }
  return merged;
}

}  // namespace

Measurements MergeRepetitions(const std::vector<Measurements>& repetitions) {
  Measurements merged;
  for (const Measurements& measurements : repetitions) {
    for (const Measurement& measurement : measurements) {
      const bool is_known =
          std::ranges::any_of(merged, [&](const Measurement& known) {
            return IsSameMeasurement(known, measurement);
          });
      if (!is_known) {
        merged.push_back(Merge(Collect(repetitions, measurement)));
      }
    }
  }
  return merged;
}

}  // namespace parsleyquay
