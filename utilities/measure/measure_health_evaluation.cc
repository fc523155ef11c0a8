#include <chrono>
#include <string>

#include "detection/service_health.h"
#include "measure.h"

namespace parsleyquay {

namespace {

constexpr Duration kReportInterval = milliseconds(100);
constexpr Duration kWarmUp = seconds(4);
constexpr Duration kMeasured = seconds(20);

// Evidence of a service where every server is bad now and then: the most work
// for the home that has to judge them.
ServiceEvidence MakeEvidence(const std::vector<RosterServer>& roster) {
  ServiceEvidence evidence;
  for (const RosterServer& server : roster) {
    evidence[server.name] = {1, 1, 1, 1, 1};
  }
  return evidence;
}

}  // namespace

Measurements MeasureHealthEvaluation(int servers) {
  std::vector<RosterServer> roster;
  for (int i = 0; i < servers; ++i) {
    roster.push_back({"server-" + std::to_string(i), 3, false, false});
  }
  const ServiceEvidence evidence = MakeEvidence(roster);
  ServiceHealth health;
  TimePoint now{seconds(1'000)};
  const auto run = [&](Duration time) {
    long steps = 0;
    for (const TimePoint end = now + time; now < end; now += kReportInterval) {
      health = ApplyEvidence(std::move(health), evidence, now);
      health = UpdateServerModes(std::move(health), roster, 50, now);
      ++steps;
    }
    return steps;
  };
  run(kWarmUp);
  const auto start = std::chrono::steady_clock::now();
  const long steps = run(kMeasured);
  const double elapsed_us = std::chrono::duration<double, std::micro>(
                                std::chrono::steady_clock::now() - start)
                                .count();
  return {{std::to_string(servers) + " servers",
           "to take in a report and judge a service",
           elapsed_us / static_cast<double>(steps),
           "us",
           {}}};
}

}  // namespace parsleyquay
