#ifndef PARSLEYQUAY_TESTS_DETECTION_MAKE_ROSTER_H_
#define PARSLEYQUAY_TESTS_DETECTION_MAKE_ROSTER_H_

#include <string>
#include <vector>

#include "detection/service_health.h"

namespace parsleyquay {

// Returns servers "s0", "s1" and so on, each with three slots and in service.
inline std::vector<RosterServer> MakeRoster(int count) {
  std::vector<RosterServer> roster;
  for (int i = 0; i < count; ++i) {
    roster.push_back({"s" + std::to_string(i), 3, false, false});
  }
  return roster;
}

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_DETECTION_MAKE_ROSTER_H_
