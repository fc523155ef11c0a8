#ifndef PARSLEYQUAY_GATEWAY_GATEWAY_METRICS_H_
#define PARSLEYQUAY_GATEWAY_GATEWAY_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace parsleyquay {

// A histogram of durations with fixed bucket bounds; the last bucket has none.
struct LatencyHistogram {
  static constexpr std::array<long, 12> kBoundsMilliseconds = {
      5, 10, 25, 50, 100, 200, 400, 800, 1'200, 1'600, 2'500, 5'000};

  std::array<std::uint64_t, kBoundsMilliseconds.size() + 1> counts = {};
  std::uint64_t sum_milliseconds = 0;

  bool operator==(const LatencyHistogram&) const = default;
};

// Adds a duration, in whole milliseconds.
void Observe(LatencyHistogram& histogram, Duration duration);

// The metrics of one process. The names include the labels, as in
// `requests{outcome="served"}`. `counters` also holds gauges when rendered.
struct GatewayMetrics {
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, LatencyHistogram> histograms;

  bool operator==(const GatewayMetrics&) const = default;
};

// Increments a counter, which starts at 0.
void IncrementCounter(GatewayMetrics& metrics,
                      const std::string& name,
                      std::uint64_t by = 1);

// Renders all metrics in the Prometheus text exposition format, one name and
// value per line.
std::string RenderMetrics(const GatewayMetrics& metrics);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_GATEWAY_METRICS_H_
