#include "detection/service_health.h"

#include <catch2/catch.hpp>
#include <random>

#include "detection/make_roster.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart{seconds(1000)};

long CountMode(const ServiceHealth& health, ServerMode mode) {
  return std::ranges::count_if(health.servers, [&](const auto& entry) {
    return entry.second.mode == mode;
  });
}

// Feeds reports of `per_report` requests each, every 100 ms; `bad_percent`
// gives each server's share of errors.
ServiceHealth Feed(ServiceHealth health,
                   const std::vector<RosterServer>& roster,
                   const std::map<std::string, double>& bad_percent,
                   double floor_percent,
                   Duration time,
                   unsigned seed) {
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> draw(0, 100);
  constexpr int kPerReport = 4;
  for (TimePoint now = kStart; now < kStart + time; now += milliseconds(100)) {
    ServiceEvidence evidence;
    for (const RosterServer& server : roster) {
      ServerEvidence& seen = evidence[server.name];
      const auto bad = bad_percent.find(server.name);
      const double percent = bad == bad_percent.end() ? 0.1 : bad->second;
      for (int i = 0; i < kPerReport; ++i) {
        const bool is_error = draw(random) < percent;
        (is_error ? seen.errors : seen.answered) += 1;
        ++seen.on_time;
      }
    }
    health = ApplyEvidence(std::move(health), evidence, now);
    health = UpdateServerModes(std::move(health), roster, floor_percent, now);
  }
  return health;
}

TEST_CASE(
    "a server that fails 10 in 100 is ejected, its healthy peers are not") {
  const auto seed = GENERATE(range(1U, 11U));
  CAPTURE(seed);
  const auto roster = MakeRoster(10);
  const ServiceHealth health =
      Feed({}, roster, {{"s3", 10}}, 50, seconds(3), seed);
  CHECK(health.servers.at("s3").mode != ServerMode::kActive);
  CHECK(CountMode(health, ServerMode::kActive) == 9);
}

TEST_CASE("sixty healthy seconds eject no one") {
  const auto seed = GENERATE(range(1U, 6U));
  CAPTURE(seed);
  const ServiceHealth health =
      Feed({}, MakeRoster(15), {}, 50, seconds(60), seed);
  CHECK(CountMode(health, ServerMode::kActive) == 15);
}

TEST_CASE("the floor holds for the union of all that is out") {
  auto roster = MakeRoster(10);
  roster[8].is_out_of_service = true;  // withdrawn or leaving
  roster[9].is_out_of_service = true;
  std::map<std::string, double> bad;
  for (int i = 0; i < 4; ++i) {
    bad["s" + std::to_string(i)] = 50;
  }
  const ServiceHealth health = Feed({}, roster, bad, 70, seconds(3), 1);
  // Eight are left, seven must stay: one may go.
  CHECK(CountMode(health, ServerMode::kActive) >= 9);
}

TEST_CASE("two of six that fail wholly are both ejected") {
  const ServiceHealth health =
      Feed({}, MakeRoster(6), {{"s1", 100}, {"s4", 100}}, 50,
           milliseconds(1'000), 1);
  CHECK(health.servers.at("s1").mode == ServerMode::kEjected);
  CHECK(health.servers.at("s4").mode == ServerMode::kEjected);
}

TEST_CASE("a service that fails as a whole ejects no one") {
  std::map<std::string, double> bad;
  for (int i = 0; i < 10; ++i) {
    bad["s" + std::to_string(i)] = 40;
  }
  const ServiceHealth health = Feed({}, MakeRoster(10), bad, 20, seconds(5), 1);
  CHECK(CountMode(health, ServerMode::kActive) == 10);
}

// One server shows the fault of all first, and is heard of no more while the
// others show it: its score must not outlive what they showed.
TEST_CASE("the first to show a common fault is not convicted for it") {
  const auto roster = MakeRoster(8);
  ServiceHealth health = Feed({}, roster, {}, 50, seconds(2), 1);
  const TimePoint start = kStart + seconds(2);
  health = ApplyEvidence(std::move(health), {{"s0", {0, 0, 0, 3, 3}}}, start);
  health = UpdateServerModes(std::move(health), roster, 50, start);
  for (int i = 1; i <= 20; ++i) {
    const TimePoint now = start + milliseconds(50) * i;
    ServiceEvidence evidence;
    for (int server = 1; server < 8; ++server) {
      evidence["s" + std::to_string(server)] = {0, 0, 0, 4, 4};
    }
    health = ApplyEvidence(std::move(health), evidence, now);
    health = UpdateServerModes(std::move(health), roster, 50, now);
  }
  CHECK(CountMode(health, ServerMode::kActive) == 8);
}

TEST_CASE("an ejected server comes back by steps") {
  ServiceHealth health = MakeServiceHealth(
      {{{"s0", {ServerMode::kEjected, 0, {}}}}, Duration(0)}, kStart);
  const auto roster = MakeRoster(4);
  health =
      UpdateServerModes(std::move(health), roster, 50, kStart + seconds(1));
  CHECK(health.servers.at("s0").mode == ServerMode::kEjected);
  health =
      UpdateServerModes(std::move(health), roster, 50, kStart + seconds(4));
  CHECK(health.servers.at("s0").mode == ServerMode::kLimited);
  CHECK(health.servers.at("s0").max_instances == 1);
  health = ApplyEvidence(std::move(health), {{"s0", {5, 0, 5, 0}}},
                         kStart + seconds(5));
  health =
      UpdateServerModes(std::move(health), roster, 50, kStart + seconds(5));
  CHECK(health.servers.at("s0").max_instances == 2);
}

// A server that turns bad again each time it is back in use is left out for
// longer and longer: 2, 4, 8, 16 and 32 s are past within a minute.
TEST_CASE("a flapping server is ejected for longer each time") {
  const auto roster = MakeRoster(6);
  ServiceHealth health;
  long ejections = 0;
  for (TimePoint now = kStart; now < kStart + seconds(60);
       now += milliseconds(100)) {
    ServiceEvidence evidence;
    for (const RosterServer& server : roster) {
      const ServerMode mode = health.servers[server.name].mode;
      const bool is_bad = server.name == "s2" && mode == ServerMode::kActive;
      if (mode != ServerMode::kEjected) {
        evidence[server.name] = {is_bad ? 0 : 2, is_bad ? 2 : 0, 2, 0, 0};
      }
    }
    const ServerMode before = health.servers["s2"].mode;
    health = ApplyEvidence(std::move(health), evidence, now);
    health = UpdateServerModes(std::move(health), roster, 50, now);
    const ServerMode after = health.servers["s2"].mode;
    ejections +=
        before != ServerMode::kEjected && after == ServerMode::kEjected ? 1 : 0;
  }
  CHECK(ejections >= 2);
  CHECK(ejections <= 5);
  CHECK(CountMode(health, ServerMode::kActive) >= 5);
}

TEST_CASE("a server that restarted is limited at once") {
  ServiceHealth health = UpdateServerModes({}, MakeRoster(4), 50, kStart);
  ServerEvidence evidence;
  evidence.has_restarted = true;
  health = ApplyEvidence(std::move(health), {{"s1", evidence}}, kStart);
  CHECK(MakeVerdict(health).servers.at("s1") ==
        ServerVerdict{ServerMode::kLimited, 1, {}});
}

}  // namespace
}  // namespace parsleyquay
