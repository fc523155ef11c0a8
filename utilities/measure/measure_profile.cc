#include <algorithm>
#include <numeric>

#include "base/median.h"
#include "experiment/load_generator.h"
#include "experiment/process_usage.h"
#include "experiment/test_fleet.h"
#include "measure.h"
#include "rate_baselines.h"

namespace parsleyquay {

namespace {

// A running fleet with the profile that is measured on it.
struct ProfileRun {
  TestFleet& fleet;
  const Profile& profile;
  unsigned seed;
  std::vector<std::string> addresses;
};

std::string FirstServicePath(const ProfileRun& run) {
  return "/work/" + run.profile.services.front().name + "/m";
}

// Returns one stream for each workspace, with `share` of its rate limit. The
// workspaces are assigned to the services in round-robin order.
std::vector<LoadStream> MakeStreams(const ProfileRun& run, double share) {
  std::vector<LoadStream> streams;
  std::size_t next_service = 0;
  for (const ProfileWorkspace& workspace : run.profile.workspaces) {
    const auto& services = run.profile.services;
    const std::string& service =
        services[next_service++ % services.size()].name;
    streams.push_back({workspace.name, run.fleet.key(workspace.name), "GET",
                       "/work/" + service + "/m",
                       share * workspace.rate_per_second});
  }
  return streams;
}

// Returns a steady stream from the first workspace to the first service. The
// rate must be high enough that each server receives requests.
LoadStream ServiceStream(const ProfileRun& run, double rate) {
  const ProfileWorkspace& large = run.profile.workspaces.front();
  return {large.name, run.fleet.key(large.name), "GET", FirstServicePath(run),
          rate};
}

double CountEjections(const ProfileRun& run) {
  double count = 0;
  for (int i = 0; i < run.profile.instances; ++i) {
    count += run.fleet.Metrics(i)["parsleyquay_ejections_total"];
  }
  return count;
}

Measurement MakeMeasurement(const ProfileRun& run,
                            const std::string& name,
                            double value,
                            const std::string& unit,
                            std::vector<Comparison> comparisons = {}) {
  return {run.profile.name, name, value, unit, std::move(comparisons)};
}

double Percent(std::size_t part, std::size_t whole) {
  return whole == 0
             ? 0
             : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

double ServedPercent(const std::vector<LoadResult>& results) {
  return Percent(CountOutcome(results, LoadOutcome::kServed), results.size());
}

void MeasureRollout(const ProfileRun& run, Measurements& measurements) {
  std::vector<double> times;
  for (int i = 0; i < 5; ++i) {
    const std::string name = "workspace extra-" + std::to_string(i);
    const auto offset = run.fleet.PublishBody(DeclarationChange{
        0,
        {{name, {{"rate_per_second", "1"}, {"burst", "4"}, {"share", "1"}}}}});
    const TimePoint start = run.fleet.http().Now();
    const FleetState state = run.fleet.ReadState();
    const bool is_complete = run.fleet.WaitFor(
        [&] {
          return offset &&
                 QueryRolloutProgress(run.fleet.http(), state, *offset)
                     .is_complete();
        },
        seconds(10));
    const double elapsed =
        std::chrono::duration<double>(run.fleet.http().Now() - start).count();
    times.push_back(is_complete ? elapsed : 10);
  }
  std::ranges::sort(times);
  measurements.push_back(MakeMeasurement(run,
                                         "until in force everywhere, median",
                                         MedianOf(times), "s", {{"bound", 4}}));
  measurements.push_back(MakeMeasurement(run,
                                         "until in force everywhere, worst",
                                         times.back(), "s", {{"bound", 4}}));
}

void MeasureFalseEjections(const ProfileRun& run, Measurements& measurements) {
  const double before = CountEjections(run);
  LoadGenerator load(run.fleet.http(), run.addresses, MakeStreams(run, 0.7),
                     run.seed);
  load.Run(seconds(60));
  measurements.push_back(
      MakeMeasurement(run, "false ejections in 60 healthy seconds",
                      CountEjections(run) - before, "", {{"aim", 0}}));
  measurements.push_back(MakeMeasurement(run, "healthy: answered",
                                         ServedPercent(load.results()), "%"));
  measurements.push_back(
      MakeMeasurement(run, "healthy: latency p99",
                      LatencyQuantileMs(load.results(), 0.99), "ms"));
}

// Returns how many requests each server of the first service has run.
std::vector<int> CountRunsByServer(const ProfileRun& run) {
  const Json::Value stats = run.fleet.ServerStats();
  std::vector<int> runs;
  for (int i = 0; i < run.profile.services.front().servers; ++i) {
    runs.push_back(stats[i]["runs"].asInt());
  }
  return runs;
}

// Returns the server at `rank` (from 0) in the order of requests run since
// `before`, most first. Only a server that receives requests can be detected as
// faulty.
int BusiestServer(const ProfileRun& run,
                  const std::vector<int>& before,
                  int rank) {
  const std::vector<int> after = CountRunsByServer(run);
  std::vector<std::pair<int, int>> runs;
  for (std::size_t i = 0; i < after.size(); ++i) {
    runs.emplace_back(after[i] - before[i], static_cast<int>(i));
  }
  std::ranges::sort(runs, std::greater<>{});
  return runs[static_cast<std::size_t>(rank)].second;
}

// Measures the seconds from the fault of a server to its ejection, and the
// percentage of requests served and their latency, compared to calling the
// servers in round-robin order.
void MeasureDetection(const ProfileRun& run,
                      const std::string& fault,
                      const std::string& query,
                      Measurements& measurements) {
  std::vector<double> times;
  std::vector<LoadResult> proxied;
  std::vector<LoadResult> direct;
  constexpr int kRounds = 3;
  constexpr double kNotDetectedSeconds = 99;
  for (int round = 0; round < kRounds; ++round) {
    std::string server;
    const std::vector<int> runs_before = CountRunsByServer(run);
    const double before = CountEjections(run);
    LoadStream direct_stream = ServiceStream(run, 40);
    const std::vector<std::string> all = run.fleet.server_addresses();
    direct_stream.fixed_addresses = {
        all.begin(), all.begin() + run.profile.services.front().servers};
    direct_stream.max_attempts = 1;
    LoadGenerator load(run.fleet.http(), run.addresses,
                       {ServiceStream(run, 90), direct_stream},
                       run.seed + static_cast<unsigned>(round));
    TimePoint fault_at;
    double detected_after = -1;
    load.Run(seconds(7), [&](Duration elapsed) {
      if (elapsed >= seconds(2) && fault_at == TimePoint()) {
        server =
            "server=" + std::to_string(BusiestServer(run, runs_before, round));
        run.fleet.SetServerFault(server + "&" + query);
        fault_at = run.fleet.http().Now();
      }
      const bool is_waiting = fault_at != TimePoint() && detected_after < 0;
      if (is_waiting && CountEjections(run) > before) {
        detected_after =
            std::chrono::duration<double>(run.fleet.http().Now() - fault_at)
                .count();
      }
    });
    times.push_back(detected_after < 0 ? kNotDetectedSeconds : detected_after);
    run.fleet.SetServerFault(server + "&slow=1&fail_percent=0&hang=0");
    const auto own = FilterByStream(load.results(), 0);
    const auto direct_results = FilterByStream(load.results(), 1);
    proxied.insert(proxied.end(), own.begin(), own.end());
    direct.insert(direct.end(), direct_results.begin(), direct_results.end());
    run.fleet.RunFor(seconds(4));
  }
  std::ranges::sort(times);
  measurements.push_back(MakeMeasurement(run,
                                         fault + ": detected after, median",
                                         MedianOf(times), "s", {{"aim", 1}}));
  measurements.push_back(MakeMeasurement(run, fault + ": detected after, worst",
                                         times.back(), "s", {{"aim", 3}}));
  measurements.push_back(
      MakeMeasurement(run, fault + ": answered", ServedPercent(proxied), "%",
                      {{"round robin", ServedPercent(direct)}}));
  measurements.push_back(MakeMeasurement(
      run, fault + ": latency p99", LatencyQuantileMs(proxied, 0.99), "ms",
      {{"round robin", LatencyQuantileMs(direct, 0.99)}}));
}

void MeasureNoisyNeighbour(const ProfileRun& run, Measurements& measurements) {
  LoadGenerator alone(run.fleet.http(), run.addresses, MakeStreams(run, 0.6),
                      run.seed);
  alone.Run(seconds(25));
  std::vector<LoadStream> streams = MakeStreams(run, 0.6);
  streams[0].rate_per_second = 5 * run.profile.workspaces[0].rate_per_second;
  LoadGenerator contended(run.fleet.http(), run.addresses, streams, run.seed);
  contended.Run(seconds(25));
  double worst_served = 100;
  double worst_ratio = 0;
  std::vector<LoadResult> others;
  std::vector<LoadResult> others_before;
  std::size_t refused = 0;
  std::size_t single_bucket = 0;
  std::size_t even_split = 0;
  std::size_t sent = 0;
  for (std::size_t i = 1; i < streams.size(); ++i) {
    const auto own = FilterByStream(contended.results(), i);
    const auto before = FilterByStream(alone.results(), i);
    const ProfileWorkspace& workspace = run.profile.workspaces[i];
    worst_served = std::min(worst_served, ServedPercent(own));
    const double alone_p99 = LatencyQuantileMs(before, 0.99);
    worst_ratio =
        std::max(worst_ratio, LatencyQuantileMs(own, 0.99) / alone_p99);
    others.insert(others.end(), own.begin(), own.end());
    others_before.insert(others_before.end(), before.begin(), before.end());
    sent += own.size();
    refused += CountOutcome(own, LoadOutcome::kRateLimited) +
               CountOutcome(own, LoadOutcome::kNotRun);
    single_bucket += CountSingleBucketRefusals(own, workspace.rate_per_second,
                                               workspace.burst);
    even_split += CountEvenSplitRefusals(
        own, workspace.rate_per_second, workspace.burst, run.profile.instances);
  }
  measurements.push_back(
      MakeMeasurement(run, "neighbour x5: worst workspace answered",
                      worst_served, "%", {{"aim", 99}}));
  measurements.push_back(
      MakeMeasurement(run, "neighbour x5: worst p99 against alone", worst_ratio,
                      "times", {{"aim", 1.5}}));
  measurements.push_back(MakeMeasurement(
      run, "neighbour x5: p99 of all others against alone",
      LatencyQuantileMs(others, 0.99) / LatencyQuantileMs(others_before, 0.99),
      "times", {{"aim", 1.5}}));
  measurements.push_back(
      MakeMeasurement(run, "neighbour x5: refused although within the rate",
                      Percent(refused, sent), "%",
                      {{"one bucket", Percent(single_bucket, sent)},
                       {"even split", Percent(even_split, sent)}}));
}

std::vector<LoadResult> FilterNotServed(
    const std::vector<LoadResult>& results) {
  std::vector<LoadResult> refused;
  std::ranges::copy_if(results, std::back_inserter(refused),
                       [](const LoadResult& result) {
                         return result.outcome != LoadOutcome::kServed;
                       });
  return refused;
}

void MeasureOutage(const ProfileRun& run, Measurements& measurements) {
  run.fleet.SetPlatformFault("down=1");
  LoadGenerator load(run.fleet.http(), run.addresses, MakeStreams(run, 0.6),
                     run.seed + 5);
  load.Run(seconds(20));
  run.fleet.SetPlatformFault("down=0");
  run.fleet.RunFor(seconds(3));
  measurements.push_back(MakeMeasurement(
      run, "log away 20 s: not answered",
      Percent(FilterNotServed(load.results()).size(), load.results().size()),
      "%", {{"aim", 0}}));
}

void MeasureDomainWithdrawal(const ProfileRun& run,
                             Measurements& measurements) {
  long withdrawn_ms = 0;
  bool is_restored = false;
  const DomainChange withdrawal{0, "domain-1", DomainAvailability::kWithdrawn};
  const DomainChange restoration{0, "domain-1", DomainAvailability::kInService};
  long last_run_ms = 0;
  LoadGenerator load(run.fleet.http(), run.addresses, MakeStreams(run, 0.6),
                     run.seed + 6);
  load.Run(seconds(20), [&](Duration elapsed) {
    if (elapsed >= seconds(3) && withdrawn_ms == 0) {
      run.fleet.PublishBody(withdrawal);
      withdrawn_ms = WallClockMilliseconds();
    }
    if (elapsed >= seconds(11) && !is_restored) {
      is_restored = true;
      const Json::Value stats = run.fleet.ServerStats();
      for (int i = 1; i < run.fleet.server_count();
           i += run.profile.failure_domains) {
        last_run_ms =
            std::max<long>(last_run_ms, stats[i]["last_run_ms"].asInt64());
      }
      run.fleet.PublishBody(restoration);
    }
  });
  measurements.push_back(
      MakeMeasurement(run, "domain withdrawn: last new work after",
                      static_cast<double>(last_run_ms - withdrawn_ms) / 1000,
                      "s", {{"bound", 4}}));
  measurements.push_back(MakeMeasurement(run,
                                         "domain leaves and returns: answered",
                                         ServedPercent(load.results()), "%"));
  measurements.push_back(
      MakeMeasurement(run, "domain leaves and returns: latency p99",
                      LatencyQuantileMs(load.results(), 0.99), "ms"));
}

void MeasureOwnerKill(const ProfileRun& run, Measurements& measurements) {
  const int owner =
      run.fleet.OwnerOfWorkspaceShard(run.profile.workspaces[2].name, 0);
  if (owner < 0) {
    return;
  }
  bool is_killed = false;
  LoadGenerator load(run.fleet.http(), run.addresses, MakeStreams(run, 0.6),
                     run.seed + 7);
  load.Run(seconds(14), [&](Duration elapsed) {
    if (elapsed >= seconds(2) && !is_killed) {
      is_killed = true;
      run.fleet.KillInstance(owner);
    }
  });
  const auto own = FilterByStream(load.results(), 2);
  const ProfileWorkspace& workspace = run.profile.workspaces[2];
  measurements.push_back(MakeMeasurement(
      run, "home killed: its workspace not answered",
      Percent(FilterNotServed(own).size(), own.size()), "%",
      {{"one bucket",
        Percent(CountSingleBucketRefusals(own, workspace.rate_per_second,
                                          workspace.burst),
                own.size())}}));
  measurements.push_back(MakeMeasurement(
      run, "home killed: all not answered",
      Percent(FilterNotServed(load.results()).size(), load.results().size()),
      "%"));
}

void MeasureControlTraffic(const ProfileRun& run, Measurements& measurements) {
  double bytes = 0;
  double memory = 0;
  const auto read = [&] {
    double sum = 0;
    for (int i = 0; i < run.profile.instances; ++i) {
      sum += run.fleet.Metrics(i)["parsleyquay_peer_sent_bytes_total"];
    }
    return sum;
  };
  const double before = read();
  const TimePoint start = run.fleet.http().Now();
  LoadGenerator load(run.fleet.http(), run.addresses, MakeStreams(run, 0.6),
                     run.seed + 8);
  load.Run(seconds(10));
  const double elapsed =
      std::chrono::duration<double>(run.fleet.http().Now() - start).count();
  bytes = (read() - before) / elapsed / run.profile.instances;
  for (int i = 0; i < run.profile.instances; ++i) {
    memory = std::max(
        memory,
        ReadProcessUsage(run.fleet.instance(i).id()).resident_megabytes);
  }
  measurements.push_back(
      MakeMeasurement(run, "under load: control sent by one instance", bytes,
                      "B/s", {{"budget", 2048}}));
  measurements.push_back(
      MakeMeasurement(run, "under load: most memory of one instance", memory,
                      "MB", {{"budget", 64}}));
}

void MeasureSlowServer(const ProfileRun& run, Measurements& measurements) {
  MeasureDetection(run, "server slow x20", "slow=20", measurements);
}

void MeasureFailingServer(const ProfileRun& run, Measurements& measurements) {
  MeasureDetection(run, "server fails 10 %", "fail_percent=10", measurements);
}

void MeasureHangingServer(const ProfileRun& run, Measurements& measurements) {
  MeasureDetection(run, "server never answers", "hang=1", measurements);
}

// One part of the measurements of a profile, which can be measured alone.
struct Part {
  std::string_view name;
  void (*measure)(const ProfileRun&, Measurements&);
};

constexpr Part kParts[] = {
    {"in-force", MeasureRollout},         {"control", MeasureControlTraffic},
    {"healthy", MeasureFalseEjections},   {"slow", MeasureSlowServer},
    {"fails", MeasureFailingServer},      {"hangs", MeasureHangingServer},
    {"neighbour", MeasureNoisyNeighbour}, {"outage", MeasureOutage},
    {"domain", MeasureDomainWithdrawal},  {"home-kill", MeasureOwnerKill},
};

}  // namespace

std::string ProfilePartNames() {
  std::string names;
  for (const Part& part : kParts) {
    names += (names.empty() ? "" : ", ") + std::string(part.name);
  }
  return names;
}

bool IsProfilePart(const std::string& name) {
  return std::ranges::find(kParts, name, &Part::name) != std::end(kParts);
}

Measurements MeasureProfile(const Profile& profile,
                            unsigned seed,
                            const std::string& only) {
  FleetOptions options;
  options.profile = profile;
  options.seed = static_cast<int>(seed);
  TestFleet fleet(options);
  Measurements measurements;
  if (!fleet.Start()) {
    return measurements;
  }
  const ProfileRun run{fleet, profile, seed, fleet.http_addresses()};
  for (const Part& part : kParts) {
    if (only.empty() || part.name == only) {
      part.measure(run, measurements);
    }
  }
  return measurements;
}

}  // namespace parsleyquay
