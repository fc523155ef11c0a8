#include "figure_spread.h"

#include <algorithm>
#include <iterator>

#include "base/median.h"

namespace parsleyquay {

namespace {

bool IsSameMeasurement(const Figure& measurement, const Figure& other) {
  return measurement.subject == other.subject && measurement.name == other.name;
}

std::vector<Figure> FindInRepetitions(const std::vector<Figures>& repetitions,
                                      const Figure& wanted) {
  std::vector<Figure> found;
  for (const Figures& measurements : repetitions) {
    std::ranges::copy_if(measurements, std::back_inserter(found),
                         [&](const Figure& measurement) {
                           return IsSameMeasurement(measurement, wanted);
                         });
  }
  return found;
}

Comparison MergeComparisons(const std::vector<Figure>& same,
                            const Comparison& wanted) {
  std::vector<double> values;
  for (const Figure& measurement : same) {
    const auto found = std::ranges::find(measurement.comparisons, wanted.name,
                                         &Comparison::name);
    if (found != measurement.comparisons.end()) {
      values.push_back(found->value);
    }
  }
  return {wanted.name, MedianOf(std::move(values))};
}

Figure Merge(const std::vector<Figure>& same) {
  Figure merged = same.front();
  merged.runs.clear();
  std::ranges::transform(same, std::back_inserter(merged.runs), &Figure::value);
  std::ranges::sort(merged.runs);
  merged.value = MedianOf(merged.runs);
  for (Comparison& comparison : merged.comparisons) {
    comparison = MergeComparisons(same, comparison);
  }
  return merged;
}

}  // namespace

Figures MergeRepetitions(const std::vector<Figures>& repetitions) {
  Figures merged;
  for (const Figures& measurements : repetitions) {
    for (const Figure& measurement : measurements) {
      const bool is_known =
          std::ranges::any_of(merged, [&](const Figure& known) {
            return IsSameMeasurement(known, measurement);
          });
      if (!is_known) {
        merged.push_back(Merge(FindInRepetitions(repetitions, measurement)));
      }
    }
  }
  return merged;
}

}  // namespace parsleyquay
