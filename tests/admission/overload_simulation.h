#ifndef PARSLEYQUAY_TESTS_ADMISSION_OVERLOAD_SIMULATION_H_
#define PARSLEYQUAY_TESTS_ADMISSION_OVERLOAD_SIMULATION_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "admission/service_admission.h"

namespace parsleyquay {

// A kind of requests that arrive at all instances of a fleet.
struct SimulatedTraffic {
  std::string workspace;
  int priority = 0;
  // Requests per second of the whole fleet, by seconds since the start.
  std::function<double(double)> rate;
  Duration latency_target = milliseconds(800);
  Duration timeout = milliseconds(1'500);
  long max_servers = 2;
};

struct SimulatedService {
  int server_count = 40;
  int slots = 4;
  int queue = 16;               // places in the queue of each server
  double service_time = 0.1;    // seconds, on average
  double shed_probability = 0;  // of each arrival, in addition to a full queue
  int lost_servers = 0;         // at `lost_at`, which instances see at once
  double lost_at = 0;           // seconds
};

struct SimulationSettings {
  SimulatedService service;
  std::vector<SimulatedTraffic> traffic;
  int instance_count = 100;
  double duration = 20;   // seconds
  bool has_queue = true;  // false: requests are sent at once
  unsigned seed = 1;
};

// What became of the requests of one kind.
struct SimulatedOutcome {
  long arrived = 0;
  long served = 0;  // within the latency target
  long late = 0;    // served within the timeout only
  long rejected = 0;
  long rejected_late = 0;  // of these, held for over an eighth of the target

  double served_share() const {
    return this->arrived == 0 ? 0
                              : static_cast<double>(this->served) /
                                    static_cast<double>(this->arrived);
  }
};

struct SimulationResult {
  std::vector<SimulatedOutcome> outcomes;  // by kind of traffic
  double slot_use = 0;                     // share of the slots' time in use
  double shed_share = 0;                   // of the arrivals at servers
  long second_attempts = 0;
  long first_attempts = 0;
};

// Plays the arrivals at the instances against the slots of the servers, with
// admission control as in the gateway. Each instance knows the loads of the
// servers from digests, which are up to half a second old.
SimulationResult Simulate(const SimulationSettings& settings);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_ADMISSION_OVERLOAD_SIMULATION_H_
