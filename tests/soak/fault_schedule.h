#ifndef PARSLEYQUAY_TESTS_SOAK_FAULT_SCHEDULE_H_
#define PARSLEYQUAY_TESTS_SOAK_FAULT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

enum class FaultKind {
  kKill,       // SIGKILL; the instance is restarted at the end
  kKillAll,    // SIGKILL to all instances at the same time
  kFreeze,     // SIGSTOP, and SIGCONT at the end
  kTerminate,  // SIGTERM; the instance is restarted once it has exited
  kReload,     // SIGHUP
  kStoreDown,  // the store rejects the calls of all instances
  kStoreRefusesInstance,  // the store rejects the calls of one instance
  kStoreSilent,           // the store does not respond to one instance
  kStoreSlow,
  kStoreLosesReplies,
  kStoreDropsHistory,
  kStoreReassignsPartitions,
  kServerFails,
  kServerResets,
  kServerHangs,
  kServerTruncatesResponses,
  kServerDrains,
  kNewConfiguration,
};
constexpr int kFaultKinds = static_cast<int>(FaultKind::kNewConfiguration) + 1;

struct Fault {
  Duration at = Duration(0);  // after the start of the schedule
  Duration duration = Duration(0);
  FaultKind kind = FaultKind::kKill;
  int target = 0;  // index of an instance or a server

  bool operator==(const Fault&) const = default;
};

std::string_view FaultName(FaultKind kind);

// Generates random faults for a run of `length`, ordered by time. Faults may
// overlap. The same seed gives the same faults.
std::vector<Fault> GenerateFaultSchedule(std::uint64_t seed,
                                         Duration length,
                                         int targets);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SOAK_FAULT_SCHEDULE_H_
