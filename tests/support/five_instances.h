#ifndef PARSLEYQUAY_TESTS_SUPPORT_FIVE_INSTANCES_H_
#define PARSLEYQUAY_TESTS_SUPPORT_FIVE_INSTANCES_H_

#include <string>

#include "experiment/test_fleet.h"

namespace parsleyquay {

// The promised time from a change's acceptance until it is in force.
constexpr Duration kInForceLimit = seconds(4);

// A fleet of five instances in two failure domains, each of which knows other
// instances by its settings.
inline FleetOptions FiveInstances() {
  FleetOptions options;
  options.profile.instances = 5;
  options.profile.failure_domains = 2;
  options.has_seed_addresses = true;
  return options;
}

inline DeclarationChange AddWorkspace(const std::string& name) {
  return {0,
          {{"workspace " + name,
            {{"rate_per_second", "5"}, {"burst", "5"}, {"share", "1"}}}}};
}

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_FIVE_INSTANCES_H_
