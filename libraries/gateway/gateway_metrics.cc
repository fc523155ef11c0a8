#include "gateway/gateway_metrics.h"

#include <algorithm>
#include <numeric>

namespace parsleyquay {

namespace {

constexpr char kPrefix[] = "parsleyquay_";

void RenderHistogram(std::string& text,
                     const std::string& name,
                     const LatencyHistogram& histogram) {
  std::uint64_t cumulated = 0;
  for (std::size_t i = 0; i < histogram.counts.size(); ++i) {
    cumulated += histogram.counts[i];
    const std::string bound =
        i < LatencyHistogram::kBoundsMilliseconds.size()
            ? std::to_string(LatencyHistogram::kBoundsMilliseconds[i])
            : "+Inf";
    text += kPrefix + name + "_ms_bucket{le=\"" + bound + "\"} " +
            std::to_string(cumulated) + "\n";
  }
  text += kPrefix + name + "_ms_sum " +
          std::to_string(histogram.sum_milliseconds) + "\n";
  text += kPrefix + name + "_ms_count " + std::to_string(cumulated) + "\n";
}

}  // namespace

void Observe(LatencyHistogram& histogram, Duration duration) {
  const long elapsed = ToMilliseconds(duration);
  const auto bound =
      std::ranges::lower_bound(LatencyHistogram::kBoundsMilliseconds, elapsed);
  ++histogram.counts[static_cast<std::size_t>(
      bound - LatencyHistogram::kBoundsMilliseconds.begin())];
  histogram.sum_milliseconds +=
      static_cast<std::uint64_t>(std::max(0L, elapsed));
}

void IncrementCounter(GatewayMetrics& metrics,
                      const std::string& name,
                      std::uint64_t by) {
  metrics.counters[name] += by;
}

std::string RenderMetrics(const GatewayMetrics& metrics) {
  std::string text;
  for (const auto& [name, value] : metrics.counters) {
    text += kPrefix + name + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, histogram] : metrics.histograms) {
    RenderHistogram(text, name, histogram);
  }
  return text;
}

}  // namespace parsleyquay
