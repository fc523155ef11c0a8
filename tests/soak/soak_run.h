#ifndef PARSLEYQUAY_TESTS_SOAK_SOAK_RUN_H_
#define PARSLEYQUAY_TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "soak/fault_schedule.h"
#include "soak/guarantee_checker.h"
#include "support/gateway_processes.h"

namespace parsleyquay {

// Runs the real programs under a seeded schedule of faults from outside, sends
// requests all the while, and keeps a ledger of what callers and servers see.
class SoakRun {
 public:
  SoakRun(std::uint64_t seed, Duration length);

  // Prints the schedule, then runs it. Returns the promises that were broken.
  std::vector<std::string> Run();

  const GuaranteeChecker& checker() const { return this->observed; }

  // What the instances logged of a request.
  std::string LogLines(const std::string& request) const;

 private:
  enum class InstanceState { kUp, kDown, kFrozen, kLeaving };
  enum class ServerMode { kGood, kFails, kResets, kHangs, kCutsAnswers };
  struct Instance {
    InstanceState state = InstanceState::kUp;
    TimePoint last_unavailable_at;  // when it last could not answer
    TimePoint leaving_since;
    TimePoint back_at;  // when the present fault of it ends
  };

  bool StartFleet();
  RawResponse Serve(int server, const RawRequest& request);
  void Begin(const Fault& fault);
  void End(const Fault& fault);
  void BeginOnInstance(const Fault& fault, int instance);
  void BeginOnStore(const Fault& fault, int instance);
  void WatchInstances();
  void SendToRandomInstance();
  void SendOne(int instance);
  void CheckRecovery();

  std::uint64_t seed;
  Duration length;
  std::mt19937_64 random;
  GatewayProcesses fleet;
  std::vector<Instance> instances;
  std::map<int, ServerMode> server_modes;
  GuaranteeChecker observed;
  int configuration_version = 1;
  int next_request = 0;
  int in_flight = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SOAK_SOAK_RUN_H_
