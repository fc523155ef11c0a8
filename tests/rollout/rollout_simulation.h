#ifndef PARSLEYQUAY_TESTS_ROLLOUT_ROLLOUT_SIMULATION_H_
#define PARSLEYQUAY_TESTS_ROLLOUT_ROLLOUT_SIMULATION_H_

#include <string>

#include "rollout/rollout_status.h"

namespace parsleyquay {

// A simulated rollout: the real decisions and accounts, with requests, servers
// and the delays of messages drawn at random.
struct SimulatedRollout {
  unsigned seed = 1;
  int instances = 36;
  double requests_per_second = 80;
  Duration duration = seconds(12);
  int servers = 6;  // of each version, in two failure domains
  int routes = 3;
  // The fault of the new version; a bad share of 0 is a good version.
  double bad_share = 0;       // failures, or slow responses if slow_factor > 1
  double slow_factor = 1;     // of the latency of bad responses
  double bad_from = 0;        // as a fraction of the duration
  int bad_route = -1;         // -1: all routes
  double bad_above_load = 0;  // only at a server with more requests per second
  double spells_per_second = 1. / 40;  // at each server
  double lost_statuses = 0;  // share of statuses that are not received
  // The driver is absent in this part of the duration.
  double driver_lost_from = 2;
  double driver_lost_until = 2;

  bool operator==(const SimulatedRollout&) const = default;
};

struct SimulationResult {
  RolloutPhase phase = RolloutPhase::kTrial;  // at the time limit
  Duration ended_at = Duration(0);
  long requests = 0;
  long exposed = 0;    // requests that the new version got
  double allowed = 0;  // by the bound
  // From the 50th bad response to the last request to the new version.
  Duration late_requests = Duration(0);
  std::string reason;
};

SimulationResult Simulate(const SimulatedRollout& simulated);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_ROLLOUT_ROLLOUT_SIMULATION_H_
