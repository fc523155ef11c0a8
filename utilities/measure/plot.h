#ifndef PARSLEYQUAY_UTILITIES_MEASURE_PLOT_H_
#define PARSLEYQUAY_UTILITIES_MEASURE_PLOT_H_

#include <string>

#include "measure.h"

namespace parsleyquay {

// Draws figures as an SVG image: for each one a bar from zero to its value, a
// thin line over the spread of its repetitions, and a bar for each comparison.
// Every figure has its own scale, since units differ.
std::string RenderPlot(const Measurements& measurements,
                       const std::string& title);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_MEASURE_PLOT_H_
