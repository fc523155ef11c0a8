#ifndef PARSLEYQUAY_TESTS_SOAK_FAULT_SCHEDULE_H_
#define PARSLEYQUAY_TESTS_SOAK_FAULT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

enum class FaultKind {
  kKill,                  // SIGKILL, started again at the end
  kKillAll,               // all instances at the same moment
  kFreeze,                // SIGSTOP, SIGCONT at the end
  kTerminate,             // SIGTERM, started again once it has ended
  kReload,                // SIGHUP
  kStoreDown,             // for all instances
  kStoreRefusesInstance,  // one instance
  kStoreSilent,           // to one instance
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
  int target = 0;  // an instance or a server, by its number

  bool operator==(const Fault&) const = default;
};

std::string_view FaultName(FaultKind kind);

// Draws faults for `length`, in order of time, some of which overlap. The same
// seed gives the same faults.
std::vector<Fault> GenerateFaultSchedule(std::uint64_t seed,
                                         Duration length,
                                         int targets);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SOAK_FAULT_SCHEDULE_H_
