#include "soak/fault_schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace parsleyquay {

namespace {

constexpr std::array<std::string_view, kFaultKinds> kNames = {
    "kill",
    "kill_all",
    "freeze",
    "terminate",
    "reload",
    "store_down",
    "store_turns_away",
    "store_silent",
    "store_slow",
    "store_loses_replies",
    "store_forgets",
    "store_regroups",
    "server_fails",
    "server_resets",
    "server_hangs",
    "server_cuts_answers",
    "server_leaves",
    "new_configuration",
};

// About one fault begins each second and a half, so that two or three overlap.
constexpr Duration kMeanGap = milliseconds(1'500);
constexpr int kShortest = 300;   // milliseconds
constexpr int kLongest = 4'000;  // milliseconds

}  // namespace

std::string_view FaultName(FaultKind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

std::vector<Fault> GenerateFaultSchedule(std::uint64_t seed,
                                         Duration length,
                                         int targets) {
  std::mt19937_64 generator(seed);
  const auto draw = [&](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(generator);
  };
  std::vector<Fault> faults;
  const auto count = std::max<long>(1, length / kMeanGap);
  for (long i = 0; i < count; ++i) {
    const auto latest = static_cast<int>(ToMilliseconds(length));
    faults.push_back({.at = milliseconds(draw(0, latest)),
                      .duration = milliseconds(draw(kShortest, kLongest)),
                      .kind = static_cast<FaultKind>(draw(0, kFaultKinds - 1)),
                      .target = draw(0, targets - 1)});
  }
  std::ranges::sort(faults, {}, &Fault::at);
  return faults;
}

}  // namespace parsleyquay
