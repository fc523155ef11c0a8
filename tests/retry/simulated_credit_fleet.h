#ifndef PARSLEYQUAY_RETRY_SIMULATED_CREDIT_FLEET_H_
#define PARSLEYQUAY_RETRY_SIMULATED_CREDIT_FLEET_H_

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "retry/credit_exchange.h"

namespace parsleyquay {

// What happens to messages and instances. Probabilities are per message, or
// per instance and second.
struct CreditFaults {
  double loss = 0;
  double duplication = 0;
  double long_delay = 0;  // up to 3 s instead of up to 20 ms
  double restarts = 0;
  double reboots = 0;     // share of the restarts that set the clock back
  double partitions = 0;  // of the whole fleet, per second

  bool operator==(const CreditFaults&) const = default;
};

struct CreditScenario {
  std::size_t instances = 36;
  std::size_t domains = 3;
  FleetRetryLimit limit;
  std::function<double(double time)> rate;  // requests per second of the fleet
  // Number of instances whose attempts are shed with `shed_probability`; those
  // of the others are not.
  std::size_t needy = 0;
  std::function<double(double time)> shed_probability;
  int max_retries = 1;   // of one request
  double duration = 40;  // seconds
  bool is_pooled = true;
  // Instances have been running for long at the start.
  bool has_started_before = false;
  CreditFaults faults;
};

struct CreditResult {
  struct Step {
    long requests = 0;
    long retries = 0;
  };
  std::vector<Step> steps;  // of 10 ms
  long needed = 0;          // retries that instances wanted to send
  double given = 0;
  double received = 0;          // by the needy instances
  double earned_elsewhere = 0;  // by the other instances
  double lapsed = 0;
  long messages = 0;
  // The largest difference between the credit with a limited validity that all
  // instances hold, and what requests within that validity have earned.
  double excess_credit = -1e9;
};

constexpr Duration kCreditStep = milliseconds(10);

CreditResult SimulateCredit(const CreditScenario& scenario, unsigned seed);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_SIMULATED_CREDIT_FLEET_H_
