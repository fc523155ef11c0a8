#ifndef PARSLEYQUAY_GATEWAY_GATEWAY_METRICS_H_
#define PARSLEYQUAY_GATEWAY_GATEWAY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace parsleyquay {

// A histogram of durations with fixed bounds.
struct LatencyHistogram {
  static constexpr std::array<long, 12> kBoundsMilliseconds = {
      5, 10, 25, 50, 100, 200, 400, 800, 1'200, 1'600, 2'500, 5'000};

  std::array<std::uint64_t, kBoundsMilliseconds.size() + 1> counts = {};
  std::uint64_t sum_milliseconds = 0;

  bool operator==(const LatencyHistogram&) const = default;
};

void Observe(LatencyHistogram& histogram, Duration duration);

// The counters and histograms of one process. Names carry their labels, as in
// `requests{route="lookup",outcome="served"}`.
struct GatewayMetrics {
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, LatencyHistogram> histograms;

  bool operator==(const GatewayMetrics&) const = default;
};

void IncrementCounter(GatewayMetrics& metrics,
                      const std::string& name,
                      std::uint64_t by = 1);

// Renders all as lines of text, each a name and a value, in the exposition
// format that the usual collectors read.
std::string RenderMetrics(const GatewayMetrics& metrics);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_GATEWAY_METRICS_H_
