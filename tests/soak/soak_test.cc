// Runs the fleet under seeded faults and checks what callers and backend
// servers observe. meta/soak runs the same test with another seed and length.

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "soak/soak_run.h"

namespace parsleyquay {
namespace {

// By default, as in CI, a short run with a fixed seed.
constexpr long kDefaultSeed = 1;
constexpr long kDefaultSeconds = 20;

long FromEnvironment(const char* name, long fallback) {
  const char* text = std::getenv(name);
  return text ? std::stol(text) : fallback;
}

TEST_CASE("no promise is broken under faults") {
  const long seed = FromEnvironment("PARSLEYQUAY_SEED", kDefaultSeed);
  const long length = FromEnvironment("PARSLEYQUAY_SECONDS", kDefaultSeconds);
  std::cout << "seed=" << seed << " seconds=" << length << std::endl;
  SoakRun run(static_cast<std::uint64_t>(seed), seconds(length));
  const std::vector<std::string> violations = run.Run();
  for (const auto& [status, count] : run.checker().outcomes_by_status) {
    std::cout << "status=" << status << " count=" << count << std::endl;
  }
  for (const std::string& violation : violations) {
    std::cout << "BROKEN " << violation << std::endl
              << run.LogLines(violation.substr(0, violation.find(' ')));
  }
  const char* log_directory = std::getenv("PARSLEYQUAY_LOGS");
  if (log_directory && !violations.empty()) {
    run.KeepLogs(log_directory);
  }
  CHECK(violations.empty());
}

}  // namespace
}  // namespace parsleyquay
