#include "balancing/server_choice.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

namespace {

// A reported load counts half after this.
constexpr double kReportHalfLifeMs = 100;
constexpr double kLatencyHalfLifeMs = 250;
constexpr double kLeastLatencyMs = 0.1;

double ToMillisecondsExact(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool HasRoom(const ServerCandidate& candidate) {
  return candidate.is_usable && candidate.in_flight < candidate.limit;
}

}  // namespace

Duration DecayedLatency(Duration latency, Duration usual, Duration age) {
  if (usual == Duration(0)) {
    return latency;
  }
  const double weight =
      std::exp2(-ToMillisecondsExact(age) / kLatencyHalfLifeMs);
  const auto difference = static_cast<double>((latency - usual).count());
  return usual + Duration(std::lround(difference * weight));
}

double PlacementCost(const ServerCandidate& candidate) {
  const double age_ms = ToMillisecondsExact(candidate.report_age);
  const double others = std::max(
      0.0, candidate.reported_load - static_cast<double>(candidate.in_flight));
  const double aged = others * std::exp2(-age_ms / kReportHalfLifeMs);
  const double waiting = 1 + static_cast<double>(candidate.in_flight) + aged;
  return waiting *
         std::max(kLeastLatencyMs, ToMillisecondsExact(candidate.latency));
}

std::optional<std::size_t> ChooseServer(
    const std::vector<ServerCandidate>& candidates,
    std::uint64_t random) {
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (HasRoom(candidates[i])) {
      open.push_back(i);
    }
  }
  if (open.empty()) {
    return std::nullopt;
  }
  const std::size_t first = random % open.size();
  const std::size_t step =
      open.size() > 1 ? 1 + (random >> 32) % (open.size() - 1) : 0;
  const std::size_t second = (first + step) % open.size();
  const bool is_second_cheaper = PlacementCost(candidates[open[second]]) <
                                 PlacementCost(candidates[open[first]]);
  return open[is_second_cheaper ? second : first];
}

}  // namespace parsleyquay
