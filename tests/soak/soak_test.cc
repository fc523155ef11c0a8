// Runs the fleet under seeded faults and checks what callers and backend
// servers see. See meta/soak.

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "soak/soak_run.h"

namespace parsleyquay {
namespace {

// A short run in CI, always the same.
constexpr long kUsualSeed = 1;
constexpr long kUsualSeconds = 20;

long FromEnvironment(const char* name, long fallback) {
  const char* text = std::getenv(name);
  return text ? std::stol(text) : fallback;
}

TEST_CASE("no promise is broken under faults") {
  const long seed = FromEnvironment("PARSLEYQUAY_SEED", kUsualSeed);
  const long length = FromEnvironment("PARSLEYQUAY_SECONDS", kUsualSeconds);
  std::cout << "seed=" << seed << " seconds=" << length << std::endl;
  SoakRun run(static_cast<std::uint64_t>(seed), seconds(length));
  const std::vector<std::string> breaches = run.Run();
  for (const auto& [status, count] : run.checker().answers) {
    std::cout << "status=" << status << " count=" << count << std::endl;
  }
  for (const std::string& breach : breaches) {
    std::cout << "BROKEN " << breach << std::endl
              << run.LogLines(breach.substr(0, breach.find(' ')));
  }
  CHECK(breaches.empty());
}

}  // namespace
}  // namespace parsleyquay
