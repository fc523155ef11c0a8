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

  // Copies the logs of all instances into a directory.
  void KeepLogs(const std::string& directory) const;

  // Returns the lines that the instances have logged about a request.
  std::string LogLines(const std::string& request) const;

 private:
  enum class InstanceState { kUp, kDown, kFrozen, kSlow, kLeaving };
  enum class ServerMode {
    kHealthy,
    kFails,
    kResets,
    kHangs,
    kTruncatesResponses,
    kRepeatsResponses
  };
  struct Instance {
    InstanceState state = InstanceState::kUp;
    TimePoint last_unavailable_at;  // when it was last killed or frozen
    TimePoint leaving_since;
    TimePoint back_at;  // when its current fault ends
  };

  // A server that leaves and still serves.
  struct LeavingServer {
    int number = 0;
    TimePoint ends_at;
    bool says_so = false;  // in its responses
  };

  bool StartFleet();
  void AddServer(int number);
  RawResponse Serve(int server, const RawRequest& request);
  ServerAnswer MakeAnswer(int server, const std::string& id);
  RawResponse Encode(const ServerAnswer& answer, const std::string& id);
  void AddStrayBytes(RawResponse& response, int server);
  void LetServerLeave(const Fault& fault);
  void UpdateServers();
  // Returns the running instance that last reported to be the aggregator, or
  // else its standby.
  int FindAggregator() const;
  void WatchOwnLoop();
  int RandomInt(int low, int high);
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
  std::map<int, ServerMode> server_modes;  // by slot
  std::vector<int> servers;                // number of the server in each slot
  std::vector<LeavingServer> leaving_servers;
  std::map<int, TimePoint> late_until;      // servers that accept late
  std::map<int, TimePoint> draining_until;  // servers that return to service
  Timer loop_watch;
  // When this process last looked for arrivals, and the time before.
  TimePoint last_turn_at;
  TimePoint turn_before_at;
  Duration longest_hold = Duration(0);
  int next_answer = 0;
  GuaranteeChecker observed;
  int configuration_version = 1;
  int next_request = 0;
  int in_flight = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SOAK_SOAK_RUN_H_
