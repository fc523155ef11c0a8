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

// Runs gateway processes under a seeded schedule of injected faults, sends
// requests continuously, and checks what callers and servers observe.
class SoakRun {
 public:
  SoakRun(std::uint64_t seed, Duration length);

  // Prints the schedule, then runs it. Returns the violations of guarantees.
  std::vector<std::string> Run();

  const GuaranteeChecker& checker() const { return this->observed; }

  // Returns the lines that the instances have logged about a request.
  std::string LogLines(const std::string& request) const;

 private:
  enum class InstanceState { kUp, kDown, kFrozen, kLeaving };
  enum class ServerMode {
    kHealthy,
    kFails,
    kResets,
    kHangs,
    kTruncatesResponses
  };
  struct Instance {
    InstanceState state = InstanceState::kUp;
    TimePoint last_unavailable_at;  // when it was last killed or frozen
    TimePoint leaving_since;
    TimePoint back_at;  // when its current fault ends
  };

  bool StartFleet();
  RawResponse Serve(int server, const RawRequest& request);
  void Begin(const Fault& fault);
  void End(const Fault& fault);
  void BeginOnInstance(const Fault& fault, int instance);
  void BeginOnStore(const Fault& fault, int instance);
  void UpdateInstances();
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
