#ifndef PARSLEYQUAY_TESTS_SOAK_FAULT_SCHEDULE_H_
#define PARSLEYQUAY_TESTS_SOAK_FAULT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

enum class FaultKind {
  kKill,             // SIGKILL; the instance is restarted at the end
  kFreeze,           // SIGSTOP, and SIGCONT at the end
  kSlow,             // the instance is stopped most of the time
  kTerminate,        // SIGTERM; the instance is restarted once it has exited
  kReload,           // SIGHUP
  kStorePathStalls,  // the open connections of one instance to the store stall
  kServerFails,
  kServerResets,
  kServerHangs,
  kServerTruncatesResponses,
  kServerRepeatsResponses,  // wholly or partly
  kServerAcceptsLate,
  kServerDrains,  // and is ready again at the end
  kNewConfiguration,
  kServerLeaves,          // announces it in the store; another server comes
  kServerVanishes,        // from the store's list; another server comes
  kServerTellsOfLeaving,  // only in its responses; another server comes
  // Faults of all instances or of the store, which excuse late news of servers.
  kKillAll,               // SIGKILL to all instances at the same time
  kStoreDown,             // the store rejects the calls of all instances
  kStoreRefusesInstance,  // the store rejects the calls of one instance
  kStoreSilent,           // the store does not respond to one instance
  kStoreSlow,
  kStoreLosesReplies,
  kStoreDropsHistory,
  kStoreReassignsPartitions,
};
constexpr int kFaultKinds =
    static_cast<int>(FaultKind::kStoreReassignsPartitions) + 1;
constexpr int kPartialFaultKinds = static_cast<int>(FaultKind::kKillAll);
// `Fault::target` of a fault that is meant for the instance which reads the
// store's list of servers for the others.
constexpr int kAggregatorTarget = -1;

struct Fault {
  Duration at = Duration(0);  // after the start of the schedule
  Duration duration = Duration(0);
  FaultKind kind = FaultKind::kKill;
  int target = 0;  // index of an instance or a server, or kAggregatorTarget

  bool operator==(const Fault&) const = default;
};

// Returns whether the fault impairs the store for all instances, or for one at
// the store itself.
bool IsStoreFault(FaultKind kind);

std::string_view FaultName(FaultKind kind);

// Generates random faults for a run of `length`, ordered by time. Faults may
// overlap. The same seed gives the same faults. Servers leave all the time,
// most of them close to a fault of the aggregator. Three in four
// seeds have no faults of the store or of all instances.
std::vector<Fault> GenerateFaultSchedule(std::uint64_t seed,
                                         Duration length,
                                         int targets);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SOAK_FAULT_SCHEDULE_H_
