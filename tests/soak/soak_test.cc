// Runs the fleet under seeded faults and checks what callers and backend
// servers observe. meta/soak runs the same test with another seed and length.

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>

#include "soak/soak_run.h"

namespace parsleyquay {
namespace {

// Long enough for about eight servers to leave.
constexpr long kDefaultSeconds = 25;

// A seed that failed, and why.
struct RegressionSeed {
  long seed = 0;
  const char* cause = "";
};

// A seed gives the same faults each time, but not the same interleaving.
constexpr std::array kRegressionSeeds = {
    RegressionSeed{1,
                   "the status is that of a part of the response before; the "
                   "only one of the first four with faults of the store"},
    RegressionSeed{3,
                   "the status is that of a part of the response before; a "
                   "request that has run is refused as not run"},
    RegressionSeed{6,
                   "the next aggregator cannot read, and its digests keep the "
                   "others from reading"},
    RegressionSeed{14, "the next aggregator freezes too"},
    RegressionSeed{4, "the status is that of a part of the response before"},
    RegressionSeed{9, "a header of the response before swallows the status"},
    RegressionSeed{13, "the next aggregator is killed too"},
    RegressionSeed{16,
                   "the aggregator freezes; the next one reads only after a "
                   "whole interval"},
    RegressionSeed{19, "the next aggregator cannot read and is killed"},
};

// How many of them are played by default, as in CI.
constexpr std::size_t kPlayedByDefault = 4;

std::optional<long> FromEnvironment(const char* name) {
  const char* text = std::getenv(name);
  return text ? std::optional(std::stol(text)) : std::nullopt;
}

// The seeds that broke a guarantee, and how. The destructor prints them, so
// that the end of the output names them also when an exception ends the test.
class FailureSummary {
 public:
  FailureSummary() = default;
  ~FailureSummary() {
    for (const std::string& line : this->lines) {
      std::cout << line << std::endl;
    }
  }
  FailureSummary(const FailureSummary&) = delete;
  FailureSummary& operator=(const FailureSummary&) = delete;

  void Add(long seed, const std::vector<std::string>& violations) {
    for (const std::string& violation : violations) {
      this->lines.push_back("seed=" + std::to_string(seed) + " BROKEN " +
                            violation);
    }
  }

 private:
  std::vector<std::string> lines;
};

void PlaySeed(const RegressionSeed& played, FailureSummary& summary) {
  const long length =
      FromEnvironment("PARSLEYQUAY_SECONDS").value_or(kDefaultSeconds);
  std::cout << "seed=" << played.seed << " seconds=" << length
            << " failed_before=\"" << played.cause << "\"" << std::endl;
  SoakRun run(static_cast<std::uint64_t>(played.seed), seconds(length));
  const std::vector<std::string> violations = run.Run();
  for (const auto& [status, count] : run.checker().outcomes_by_status) {
    std::cout << "status=" << status << " count=" << count << std::endl;
  }
  for (const std::string& violation : violations) {
    std::cout << "BROKEN " << violation << std::endl
              << run.LogLines(violation.substr(0, violation.find(' ')));
  }
  summary.Add(played.seed, violations);
  const char* log_directory = std::getenv("PARSLEYQUAY_LOGS");
  if (log_directory && !violations.empty()) {
    run.KeepLogs(log_directory);
  }
  CHECK(violations.empty());
}

TEST_CASE("no promise is broken under faults") {
  FailureSummary summary;
  const auto seed = FromEnvironment("PARSLEYQUAY_SEED");
  if (seed) {
    PlaySeed({.seed = *seed}, summary);
    return;
  }
  const bool plays_all = FromEnvironment("PARSLEYQUAY_ALL_SEEDS").has_value();
  const std::size_t count =
      plays_all ? kRegressionSeeds.size() : kPlayedByDefault;
  std::for_each_n(
      kRegressionSeeds.begin(), count,
      [&](const RegressionSeed& played) { PlaySeed(played, summary); });
}

}  // namespace
}  // namespace parsleyquay
