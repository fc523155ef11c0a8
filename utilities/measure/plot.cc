#include "plot.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "base/escape_markup.h"

namespace parsleyquay {

namespace {

// Lengths in pixels.
constexpr int kBarsLeft = 430;
constexpr int kBarsWidth = 360;
constexpr int kWidth = 960;
constexpr int kTitleHeight = 40;
constexpr int kBarHeight = 14;
constexpr int kRowGap = 10;
constexpr int kTextDrop = 11;  // from the top of a bar to its text's line

constexpr const char* kValueColor = "#2a6f97";
constexpr const char* kComparisonColor = "#c9ced6";

std::string FormatValue(double value) {
  std::ostringstream text;
  text << std::setprecision(4) << value;
  return text.str();
}

// The largest value that has to fit on a figure's scale.
double LargestOf(const Measurement& measurement) {
  double largest = measurement.value;
  for (const Comparison& comparison : measurement.comparisons) {
    largest = std::max(largest, comparison.value);
  }
  for (const double run : measurement.runs) {
    largest = std::max(largest, run);
  }
  return largest;
}

double ToLength(double value, double largest) {
  return largest <= 0 ? 0 : std::max(0.0, value) / largest * kBarsWidth;
}

void DrawText(std::ostringstream& svg,
              double x,
              int top,
              const std::string& text) {
  svg << "<text x=\"" << x << "\" y=\"" << top + kTextDrop << "\">"
      << EscapeMarkup(text) << "</text>\n";
}

void DrawBar(std::ostringstream& svg,
             int top,
             double length,
             const char* color,
             const std::string& label) {
  svg << "<rect x=\"" << kBarsLeft << "\" y=\"" << top << "\" width=\""
      << length << "\" height=\"" << kBarHeight - 2 << "\" fill=\"" << color
      << "\"/>\n";
  DrawText(svg, kBarsLeft + length + 6, top, label);
}

void DrawSpread(std::ostringstream& svg, int top, double from, double to) {
  const int middle = top + kBarHeight / 2 - 1;
  svg << "<line x1=\"" << kBarsLeft + from << "\" x2=\"" << kBarsLeft + to
      << "\" y1=\"" << middle << "\" y2=\"" << middle
      << "\" stroke=\"#000\"/>\n";
}

// Draws one figure and returns how high it is.
int DrawMeasurement(std::ostringstream& svg,
                    const Measurement& measurement,
                    int top) {
  const double largest = LargestOf(measurement);
  DrawText(svg, 10, top, measurement.subject + ": " + measurement.name);
  DrawBar(svg, top, ToLength(measurement.value, largest), kValueColor,
          FormatValue(measurement.value) + ' ' + measurement.unit);
  if (measurement.runs.size() > 1) {
    DrawSpread(svg, top, ToLength(measurement.runs.front(), largest),
               ToLength(measurement.runs.back(), largest));
  }
  int height = kBarHeight;
  for (const Comparison& comparison : measurement.comparisons) {
    DrawBar(svg, top + height, ToLength(comparison.value, largest),
            kComparisonColor,
            comparison.name + ' ' + FormatValue(comparison.value));
    height += kBarHeight;
  }
  return height;
}

int HeightOf(const Measurements& measurements) {
  int height = kTitleHeight;
  for (const Measurement& measurement : measurements) {
    height +=
        kRowGap +
        kBarHeight * (1 + static_cast<int>(measurement.comparisons.size()));
  }
  return height;
}

}  // namespace

std::string RenderPlot(const Measurements& measurements,
                       const std::string& title) {
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << HeightOf(measurements)
      << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"#fff\"/>\n";
  DrawText(svg, 10, 10, title);
  int top = kTitleHeight;
  for (const Measurement& measurement : measurements) {
    top += DrawMeasurement(svg, measurement, top) + kRowGap;
  }
  svg << "</svg>\n";
  return svg.str();
}

}  // namespace parsleyquay
