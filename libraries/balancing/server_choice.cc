#include "balancing/server_choice.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

namespace {

// The weights of a reported load and of a measured latency halve in these
// times.
constexpr double kReportHalfLifeMs = 100;
constexpr double kLatencyHalfLifeMs = 250;
constexpr double kMinLatencyMs = 0.1;

double ToDoubleMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool IsBelowLimit(const ServerCandidate& candidate) {
  return candidate.is_usable && candidate.in_flight < candidate.limit;
}

}  // namespace

Duration DecayedLatency(Duration latency,
                        Duration typical_latency,
                        Duration age) {
  if (typical_latency == Duration(0)) {
    return latency;
  }
  const double weight =
      std::exp2(-ToDoubleMilliseconds(age) / kLatencyHalfLifeMs);
  const auto difference =
      static_cast<double>((latency - typical_latency).count());
  return typical_latency + Duration(std::lround(difference * weight));
}

double ExpectedLatencyMs(const ServerCandidate& candidate) {
  const double age_ms = ToDoubleMilliseconds(candidate.report_age);
  const double load_of_others = std::max(
      0.0, candidate.reported_load - static_cast<double>(candidate.in_flight));
  const double decayed_load =
      load_of_others * std::exp2(-age_ms / kReportHalfLifeMs);
  const double requests =
      1 + static_cast<double>(candidate.in_flight) + decayed_load;
  return requests *
         std::max(kMinLatencyMs, ToDoubleMilliseconds(candidate.latency));
}

std::optional<std::size_t> ChooseServer(
    const std::vector<ServerCandidate>& candidates,
    std::uint64_t random) {
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (IsBelowLimit(candidates[i])) {
      usable.push_back(i);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const std::size_t first = random % usable.size();
  const std::size_t step =
      usable.size() > 1 ? 1 + (random >> 32) % (usable.size() - 1) : 0;
  const std::size_t second = (first + step) % usable.size();
  const bool is_second_faster = ExpectedLatencyMs(candidates[usable[second]]) <
                                ExpectedLatencyMs(candidates[usable[first]]);
  return usable[is_second_faster ? second : first];
}

}  // namespace parsleyquay
