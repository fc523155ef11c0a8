#ifndef PARSLEYQUAY_UTILITIES_MEASURE_PLOT_H_
#define PARSLEYQUAY_UTILITIES_MEASURE_PLOT_H_

#include <string>

#include "measure.h"

namespace parsleyquay {

// Renders measurements as an SVG image: for each one a bar from zero to its
// value, a thin line over the range of its repetitions, and a bar for each
// comparison. Each measurement has a scale of its own, since the units differ.
std::string RenderPlot(const Measurements& measurements,
                       const std::string& title);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_MEASURE_PLOT_H_
