#ifndef PARSLEYQUAY_BASE_MEDIAN_H_
#define PARSLEYQUAY_BASE_MEDIAN_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace parsleyquay {

// Returns the median, or the upper of the two middle values if their number is
// even. Returns Value{} if there are no values.
template <typename Value>
Value MedianOf(std::vector<Value> values) {
  if (values.empty()) {
    return Value{};
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  return *middle;
}

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_MEDIAN_H_
