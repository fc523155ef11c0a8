#include "soak/fault_schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace parsleyquay {

namespace {

constexpr std::array<std::string_view, kFaultKinds> kNames = {
    "kill",
    "freeze",
    "slow",
    "terminate",
    "reload",
    "store_path_stalls",
    "server_fails",
    "server_resets",
    "server_hangs",
    "server_cuts_answers",
    "server_repeats_answers",
    "server_accepts_late",
    "server_drains",
    "new_configuration",
    "server_leaves",
    "server_vanishes",
    "server_tells",
    "kill_all",
    "store_down",
    "store_turns_away",
    "store_silent",
    "store_slow",
    "store_loses_replies",
    "store_forgets",
    "store_regroups",
};

// On average one fault begins every 1.5 seconds, so that two or three overlap.
constexpr Duration kMeanInterval = milliseconds(1'500);
// On average a server leaves every 3 seconds.
constexpr Duration kMeanLeaveInterval = seconds(3);
// When the aggregator, and at times its standby, is disturbed: from so long
// before a server leaves to so long after that, when the aggregator may not yet
// have read it.
constexpr int kMaxLeadMs = 1'000;
constexpr int kMaxLagMs = 700;
constexpr std::array kAggregatorFaults = {
    FaultKind::kKill, FaultKind::kFreeze, FaultKind::kTerminate,
    FaultKind::kSlow, FaultKind::kStorePathStalls};
constexpr int kMinDurationMs = 300;
constexpr int kMaxDurationMs = 4'000;

}  // namespace

bool IsStoreFault(FaultKind kind) {
  return kind >= FaultKind::kStoreDown;
}

std::string_view FaultName(FaultKind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

std::vector<Fault> GenerateFaultSchedule(std::uint64_t seed,
                                         Duration length,
                                         int targets) {
  std::mt19937_64 generator(seed);
  const auto random_int = [&](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(generator);
  };
  const auto length_ms = static_cast<int>(ToMilliseconds(length));
  const int kinds = random_int(0, 3) == 0 ? kFaultKinds : kPartialFaultKinds;
  const auto random_fault = [&](FaultKind kind, int at_ms, int target) {
    return Fault{
        .at = milliseconds(at_ms),
        .duration = milliseconds(random_int(kMinDurationMs, kMaxDurationMs)),
        .kind = kind,
        .target = target};
  };
  std::vector<Fault> faults;
  const auto count = std::max<long>(1, length / kMeanInterval);
  for (long i = 0; i < count; ++i) {
    faults.push_back(
        random_fault(static_cast<FaultKind>(random_int(0, kinds - 1)),
                     random_int(0, length_ms), random_int(0, targets - 1)));
  }
  for (long i = 0; i < length / kMeanLeaveInterval; ++i) {
    const int at_ms = random_int(0, length_ms);
    const int kind =
        random_int(static_cast<int>(FaultKind::kServerLeaves),
                   static_cast<int>(FaultKind::kServerTellsOfLeaving));
    faults.push_back(random_fault(static_cast<FaultKind>(kind), at_ms,
                                  random_int(0, targets - 1)));
    // None, one or two.
    for (int others = random_int(0, 4); others > 1; others -= 2) {
      const auto fault = static_cast<std::size_t>(
          random_int(0, static_cast<int>(kAggregatorFaults.size()) - 1));
      faults.push_back(
          random_fault(kAggregatorFaults[fault],
                       std::max(0, at_ms + random_int(-kMaxLeadMs, kMaxLagMs)),
                       kAggregatorTarget));
    }
  }
  std::ranges::sort(faults, {}, &Fault::at);
  return faults;
}

}  // namespace parsleyquay
