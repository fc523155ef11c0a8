#include "detection/service_health.h"

#include <algorithm>
#include <cmath>

#include "base/median.h"

namespace parsleyquay {

namespace {

constexpr Duration kFirstBackoff = seconds(2);
constexpr Duration kLongestBackoff = seconds(60);
constexpr Duration kBackoffReset = seconds(60);
constexpr Duration kRampStep = milliseconds(1'000);
constexpr long kGoodToStep = 3;
constexpr Duration kQuietRampStep = milliseconds(1'500);

struct NamedFinding {
  std::string name;
  FaultFinding finding;
};

void EnterMode(ServerHealth& server, ServerMode mode, TimePoint now) {
  server.mode = mode;
  server.mode_since = now;
  server.last_step_at = now;
  server.good_since_step = 0;
  server.max_instances = mode == ServerMode::kLimited ? 1 : 0;
}

void Eject(ServerHealth& server, TimePoint now) {
  const bool was_stable = server.mode == ServerMode::kActive &&
                          now - server.mode_since >= kBackoffReset;
  const bool is_first = server.backoff == Duration(0) || was_stable;
  server.backoff =
      is_first ? kFirstBackoff : std::min(kLongestBackoff, server.backoff * 2);
  EnterMode(server, ServerMode::kEjected, now);
}

void NoteEvidence(ServerHealth& server, const ServerEvidence& evidence) {
  server.good_since_step += std::min(evidence.answered, evidence.on_time);
  if (evidence.latency > Duration(0)) {
    server.latency = SmoothLatency(server.latency, evidence.latency);
  }
}

bool IsHealthy(const ServiceHealth& health, const RosterServer& server) {
  const auto found = health.servers.find(server.name);
  return !server.is_out_of_service &&
         (found == health.servers.end() ||
          found->second.mode == ServerMode::kActive);
}

long FloorCount(std::size_t roster_size, double floor_percent) {
  return std::lround(
      std::ceil(static_cast<double>(roster_size) * floor_percent / 100));
}

// Raises the allowance of a limited server; the last step makes it active.
void StepRamp(ServerHealth& server, long slots, TimePoint now) {
  const Duration waited = now - server.last_step_at;
  const bool has_proof =
      waited >= kRampStep && server.good_since_step >= kGoodToStep;
  if (!has_proof && waited < kQuietRampStep) {
    return;
  }
  if (server.max_instances >= slots) {
    EnterMode(server, ServerMode::kActive, now);
    return;
  }
  ++server.max_instances;
  server.last_step_at = now;
  server.good_since_step = 0;
}

void AdvanceServer(ServerHealth& server, long slots, TimePoint now) {
  if (server.mode == ServerMode::kEjected) {
    if (now - server.mode_since >= server.backoff) {
      EnterMode(server, ServerMode::kLimited, now);
    }
    return;
  }
  if (server.mode == ServerMode::kLimited) {
    StepRamp(server, slots, now);
  }
}

// Evidence from before a change of mode is on another use of the server.
void ForgetEvidenceOfOldModes(ServiceHealth& health) {
  std::erase_if(health.histories, [&](const auto& entry) {
    const auto server = health.servers.find(entry.first);
    return server == health.servers.end() ||
           server->second.mode == ServerMode::kEjected;
  });
  for (auto& [name, history] : health.histories) {
    const TimePoint since = health.servers.at(name).mode_since;
    std::erase_if(history.slices, [&](const EvidenceSlice& slice) {
      return slice.from < since;
    });
  }
}

// The server that is most plainly at fault among those that may be ejected.
std::optional<NamedFinding> FindWorst(const ServiceHealth& health,
                                      const std::vector<RosterServer>& roster,
                                      double floor_percent,
                                      TimePoint now) {
  const long healthy = std::ranges::count_if(
      roster, [&](const RosterServer& s) { return IsHealthy(health, s); });
  const bool is_at_floor =
      healthy - 1 < FloorCount(roster.size(), floor_percent);
  const auto findings = FindFaults(health.histories, now);
  std::optional<NamedFinding> worst;
  for (const RosterServer& listed : roster) {
    const auto found = findings.find(listed.name);
    const bool may_go = !is_at_floor || !IsHealthy(health, listed);
    if (!may_go || found == findings.end()) {
      continue;
    }
    if (!worst || found->second.score > worst->finding.score) {
      worst = {listed.name, found->second};
    }
  }
  return worst;
}

}  // namespace

ServiceHealth MakeServiceHealth(const ServiceVerdict& verdict, TimePoint now) {
  ServiceHealth health;
  for (const auto& [name, known] : verdict.servers) {
    ServerHealth& server = health.servers[name];
    EnterMode(server, known.mode, now);
    server.max_instances = known.max_instances;
    server.backoff =
        known.mode == ServerMode::kEjected ? kFirstBackoff : Duration(0);
  }
  return health;
}

ServiceHealth ApplyEvidence(ServiceHealth health,
                            const ServiceEvidence& evidence,
                            TimePoint now) {
  for (const auto& [name, seen] : evidence) {
    ServerHealth& server = health.servers[name];
    NoteEvidence(server, seen);
    EvidenceHistory& history = health.histories[name];
    history = AddEvidence(std::move(history), seen, now);
    const bool is_restart_news =
        seen.has_restarted && server.mode == ServerMode::kActive;
    if (is_restart_news) {
      EnterMode(server, ServerMode::kLimited, now);
    }
  }
  return health;
}

ServiceHealth UpdateServerModes(ServiceHealth health,
                                const std::vector<RosterServer>& roster,
                                double floor_percent,
                                TimePoint now) {
  std::erase_if(health.servers, [&](const auto& entry) {
    return std::ranges::find(roster, entry.first, &RosterServer::name) ==
           roster.end();
  });
  for (const RosterServer& listed : roster) {
    const auto [found, is_unknown] = health.servers.try_emplace(listed.name);
    if (is_unknown) {
      EnterMode(found->second,
                listed.is_new ? ServerMode::kLimited : ServerMode::kActive,
                now);
    }
    AdvanceServer(found->second, listed.slots, now);
  }
  ForgetEvidenceOfOldModes(health);
  while (const auto worst = FindWorst(health, roster, floor_percent, now)) {
    ServerHealth& server = health.servers[worst->name];
    server.last_ejection_cause = worst->finding;
    Eject(server, now);
    health.histories.erase(worst->name);
  }
  return health;
}

ServiceVerdict MakeVerdict(const ServiceHealth& health) {
  ServiceVerdict verdict;
  std::vector<Duration> latencies;
  for (const auto& [name, server] : health.servers) {
    if (server.mode != ServerMode::kActive) {
      verdict.servers[name] = {server.mode, server.max_instances, {}};
    }
    if (server.latency > Duration(0)) {
      latencies.push_back(server.latency);
    }
  }
  if (!latencies.empty()) {
    verdict.slow_threshold = SlowThreshold(MedianOf(std::move(latencies)));
  }
  return verdict;
}

ServiceVerdict EnforceHealthyFloor(ServiceVerdict verdict,
                                   const std::vector<RosterServer>& roster,
                                   double floor_percent) {
  const long floor = FloorCount(roster.size(), floor_percent);
  long healthy = std::ranges::count_if(roster, [&](const RosterServer& s) {
    return !s.is_out_of_service && !verdict.servers.contains(s.name);
  });
  for (const RosterServer& listed : roster) {
    const auto found = verdict.servers.find(listed.name);
    const bool is_ejected = found != verdict.servers.end() &&
                            found->second.mode == ServerMode::kEjected;
    if (healthy < floor && is_ejected && !listed.is_out_of_service) {
      verdict.servers.erase(found);
      ++healthy;
    }
  }
  return verdict;
}

}  // namespace parsleyquay
