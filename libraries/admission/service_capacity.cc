#include "admission/service_capacity.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace parsleyquay {

namespace {

// The rate, in requests per second, that each instance is assumed to have in
// addition to what was counted.
constexpr double kPriorRate = 0.5;

// Time in which the instances together correct a deviation of the load from its
// target. Loads are known with a delay of up to half a second; a shorter time
// makes the load oscillate.
constexpr double kCorrectionSeconds = 0.6;

// The pooled load ratio at which a service becomes overloaded, and below which
// it no longer is. Requests are unevenly distributed over servers, so that the
// ratio exceeds 1 a little before all slots are in use.
constexpr double kOverloadedRatio = 1.5;
constexpr double kRelievedRatio = 1.0;
constexpr Duration kMinOverloadTime = seconds(1);

// The same if servers shed: their queues may be short.
constexpr double kShedOverloadedRatio = 1.1;
constexpr double kOverloadedShedShare = 0.05;

// From this load ratio on all slots are in use, and the measured completions
// are the capacity.
constexpr double kSaturatedRatio = 1.5;

// The load ratios that each priority may fill the servers to. The lowest one
// suffices to use nearly all slots.
constexpr std::array kTargetRatios = {4.0, 3.0, 2.4};
constexpr double kLowestTargetRatio = 1.5;

// Change of the used part of the servers' queues per second, while they shed
// and otherwise.
constexpr double kQueueUseDecay = 0.3;
constexpr double kQueueUseRecovery = 0.05;
constexpr double kToleratedShedShare = 0.02;

// Change of the pace per second, and its bounds.
constexpr double kPaceIncrease = 0.8;
constexpr double kPaceDecrease = 0.4;
constexpr double kPaceRecovery = 0.1;
constexpr double kMinPace = 0.5;
constexpr double kMaxPace = 3;

double NextPace(const OverloadState& state, double ratio, double elapsed) {
  if (!state.is_overloaded) {
    return 1;
  }
  if (ratio < kLowestTargetRatio) {
    return std::min(kMaxPace, state.pace * std::exp(kPaceIncrease * elapsed));
  }
  if (ratio > TargetLoadRatio(0, state)) {
    return std::max(kMinPace, state.pace * std::exp(-kPaceDecrease * elapsed));
  }
  return 1 + (state.pace - 1) * std::exp(-kPaceRecovery * elapsed);
}

}  // namespace

void AddServer(ServiceCapacity& capacity, const ServerOccupancy& server) {
  capacity.slots += server.slots;
  capacity.load += server.load;
  capacity.completions_per_second += server.completions_per_second;
}

double InstanceShare(double own_rate,
                     double fleet_rate,
                     std::size_t instance_count) {
  const double fleet =
      fleet_rate + kPriorRate * static_cast<double>(instance_count);
  return std::min(1., (own_rate + kPriorRate) / fleet);
}

double LoadRatio(const ServiceCapacity& capacity) {
  return capacity.slots > 0 ? capacity.load / capacity.slots : 0;
}

double MaxCompletionRate(const ServiceCapacity& capacity) {
  const double service_seconds =
      std::max(0.001, ToSeconds(capacity.service_time));
  const double nominal = capacity.slots / service_seconds;
  // The measured rate lags behind when the service has only just become
  // saturated; the nominal one is wrong if servers have become slower.
  const double ratio = LoadRatio(capacity);
  const double measured_weight =
      std::clamp((ratio - 1) / (kSaturatedRatio - 1), 0., 1.);
  const double measured = capacity.completions_per_second;
  return std::max(measured,
                  nominal * (1 - measured_weight) + measured * measured_weight);
}

double SendingRate(const ServiceCapacity& capacity,
                   double target_ratio,
                   double pace) {
  const double correction =
      (target_ratio * capacity.slots - capacity.load) / kCorrectionSeconds;
  return capacity.instance_share *
         std::max(0., MaxCompletionRate(capacity) * pace + correction);
}

Duration ExpectedTimeAtServer(const ServiceCapacity& capacity) {
  return std::chrono::duration_cast<Duration>(
      capacity.service_time * std::max(1., LoadRatio(capacity)));
}

void UpdateOverload(OverloadState& state,
                    const ServiceCapacity& capacity,
                    bool has_waiting_requests,
                    TimePoint now) {
  const double ratio = LoadRatio(capacity);
  const double elapsed =
      std::min(1., ToSeconds(now - std::exchange(state.updated_at, now)));
  const bool is_shedding =
      capacity.shed_share > kToleratedShedShare && ratio > kLowestTargetRatio;
  state.queue_use =
      is_shedding ? state.queue_use * std::exp(-kQueueUseDecay * elapsed)
                  : std::min(1., state.queue_use + kQueueUseRecovery * elapsed);
  state.pace = NextPace(state, ratio, elapsed);
  const bool is_paused = capacity.pause_left > Duration(0);
  const bool is_full = is_paused || ratio >= kOverloadedRatio ||
                       (capacity.shed_share >= kOverloadedShedShare &&
                        ratio >= kShedOverloadedRatio);
  const bool is_relieved = !is_paused && ratio < kRelievedRatio &&
                           !has_waiting_requests &&
                           now - state.changed_at >= kMinOverloadTime;
  const bool is_overloaded = state.is_overloaded ? !is_relieved : is_full;
  if (is_overloaded != state.is_overloaded) {
    state.is_overloaded = is_overloaded;
    state.changed_at = now;
  }
}

double TargetLoadRatio(int priority, const OverloadState& state) {
  const auto rank = static_cast<std::size_t>(
      std::clamp(priority, 0, static_cast<int>(kTargetRatios.size()) - 1));
  return kLowestTargetRatio +
         (kTargetRatios.at(rank) - kLowestTargetRatio) * state.queue_use;
}

}  // namespace parsleyquay
