// A service that turns slow as a whole, seen through the reports of a few
// instances: which server shows it first is chance, and chance ejects no one.

#include <catch2/catch.hpp>
#include <random>

#include "detection/make_roster.h"
#include "detection/service_health.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart{seconds(1000)};
constexpr TimePoint kSlowFrom = kStart + seconds(2);
constexpr TimePoint kEnd = kStart + seconds(7);
constexpr int kServers = 8;
constexpr int kInstances = 4;
constexpr Duration kReportInterval = milliseconds(500);
constexpr long kUrgentBadCount = 2;

// One instance gathers what its requests show, until it reports.
struct Reporter {
  ServiceEvidence evidence;
  TimePoint reported_at = kStart;
};

long CountBad(const ServiceEvidence& evidence) {
  long bad = 0;
  for (const auto& [name, seen] : evidence) {
    bad += seen.slow_marks;
  }
  return bad;
}

bool IsDue(const Reporter& reporter, TimePoint now) {
  return now - reporter.reported_at >= kReportInterval ||
         CountBad(reporter.evidence) >= kUrgentBadCount;
}

// A slow request shows one mark or two, on a threshold that follows the usual
// latency with a delay.
void NoteRequest(ServerEvidence& seen, bool is_slow, bool has_second_mark) {
  ++seen.answered;
  if (!is_slow) {
    ++seen.on_time;
    return;
  }
  ++seen.slow_requests;
  seen.slow_marks += has_second_mark ? 2 : 1;
}

TEST_CASE("a service that turns slow as a whole ejects no one, by any chance") {
  const auto seed = GENERATE(range(1U, 201U));
  CAPTURE(seed);
  std::mt19937 random(seed);
  std::uniform_int_distribution<int> draw_server(0, kServers - 1);
  std::uniform_int_distribution<int> draw_percent(0, 99);
  const auto roster = MakeRoster(kServers);
  std::vector<Reporter> reporters(kInstances);
  ServiceHealth health;
  long ejected = 0;
  // 100 requests a second, in turn to the instances.
  int turn = 0;
  for (TimePoint now = kStart; now < kEnd; now += milliseconds(10)) {
    Reporter& reporter =
        reporters[static_cast<std::size_t>(turn++ % kInstances)];
    const bool is_slow = now >= kSlowFrom && draw_percent(random) < 60;
    NoteRequest(reporter.evidence["s" + std::to_string(draw_server(random))],
                is_slow, draw_percent(random) < 30);
    for (Reporter& each : reporters) {
      if (IsDue(each, now)) {
        health = ApplyEvidence(std::move(health), each.evidence, now);
        each = {{}, now};
      }
    }
    health = UpdateServerModes(std::move(health), roster, 50, now);
    ejected += std::ranges::count_if(health.servers, [](const auto& entry) {
      return entry.second.mode == ServerMode::kEjected;
    });
  }
  CHECK(ejected == 0);
}

}  // namespace
}  // namespace parsleyquay
