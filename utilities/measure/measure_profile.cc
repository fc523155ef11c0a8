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

// One organisation under measurement.
struct Bench {
  TestFleet& fleet;
  const Profile& profile;
  unsigned seed;
  std::vector<std::string> addresses;
};

std::string FirstPath(const Bench& bench) {
  return "/work/" + bench.profile.services.front().name + "/m";
}

// Every workspace sends `share` of its rate to the services in turn.
std::vector<LoadStream> MakeStreams(const Bench& bench, double share) {
  std::vector<LoadStream> streams;
  std::size_t turn = 0;
  for (const ProfileWorkspace& workspace : bench.profile.workspaces) {
    const auto& services = bench.profile.services;
    const std::string& service = services[turn++ % services.size()].name;
    streams.push_back({workspace.name, bench.fleet.key(workspace.name), "GET",
                       "/work/" + service + "/m",
                       share * workspace.rate_per_second});
  }
  return streams;
}

// A steady load on the first service, enough for each server to be seen.
LoadStream ServiceStream(const Bench& bench, double rate) {
  const ProfileWorkspace& large = bench.profile.workspaces.front();
  return {large.name, bench.fleet.key(large.name), "GET", FirstPath(bench),
          rate};
}

double CountEjections(const Bench& bench) {
  double count = 0;
  for (int i = 0; i < bench.profile.instances; ++i) {
    count += bench.fleet.Metrics(i)["parsleyquay_ejections_total"];
  }
  return count;
}

Measurement Make(const Bench& bench,
                 const std::string& name,
                 double value,
                 const std::string& unit,
                 std::vector<Comparison> comparisons = {}) {
  return {bench.profile.name, name, value, unit, std::move(comparisons)};
}

double Percent(std::size_t part, std::size_t whole) {
  return whole == 0
             ? 0
             : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

double AnsweredPercent(const std::vector<LoadResult>& results) {
  return Percent(CountOutcome(results, LoadOutcome::kServed), results.size());
}

void MeasureInForce(const Bench& bench, Measurements& measurements) {
  std::vector<double> times;
  for (int i = 0; i < 5; ++i) {
    const std::string name = "workspace extra-" + std::to_string(i);
    const auto offset = bench.fleet.PublishBody(DeclarationChange{
        0,
        {{name, {{"rate_per_second", "1"}, {"burst", "4"}, {"share", "1"}}}}});
    const TimePoint start = bench.fleet.http().Now();
    const FleetState state = bench.fleet.ReadState();
    const bool is_everywhere = bench.fleet.WaitFor(
        [&] {
          return offset &&
                 QueryRolloutProgress(bench.fleet.http(), state, *offset)
                     .is_complete();
        },
        seconds(10));
    const double elapsed =
        std::chrono::duration<double>(bench.fleet.http().Now() - start).count();
    times.push_back(is_everywhere ? elapsed : 10);
  }
  std::ranges::sort(times);
  measurements.push_back(Make(bench, "until in force everywhere, median",
                              MedianOf(times), "s", {{"bound", 4}}));
  measurements.push_back(Make(bench, "until in force everywhere, worst",
                              times.back(), "s", {{"bound", 4}}));
}

void MeasureFalseEjections(const Bench& bench, Measurements& measurements) {
  const double before = CountEjections(bench);
  LoadGenerator load(bench.fleet.http(), bench.addresses,
                     MakeStreams(bench, 0.7), bench.seed);
  load.Run(seconds(60));
  measurements.push_back(Make(bench, "false ejections in 60 healthy seconds",
                              CountEjections(bench) - before, "",
                              {{"aim", 0}}));
  measurements.push_back(
      Make(bench, "healthy: answered", AnsweredPercent(load.results()), "%"));
  measurements.push_back(Make(bench, "healthy: latency p99",
                              LatencyQuantileMs(load.results(), 0.99), "ms"));
}

// How often each server of the first service has run a request.
std::vector<int> CountRuns(const Bench& bench) {
  const Json::Value stats = bench.fleet.ServerStats();
  std::vector<int> runs;
  for (int i = 0; i < bench.profile.services.front().servers; ++i) {
    runs.push_back(stats[i]["runs"].asInt());
  }
  return runs;
}

// The server that got the most requests since `before`, or the next after it
// by `place`: a fault of a server that no caller's instance uses harms nobody
// and cannot be seen.
int BusiestServer(const Bench& bench,
                  const std::vector<int>& before,
                  int place) {
  const std::vector<int> after = CountRuns(bench);
  std::vector<std::pair<int, int>> runs;
  for (std::size_t i = 0; i < after.size(); ++i) {
    runs.emplace_back(after[i] - before[i], static_cast<int>(i));
  }
  std::ranges::sort(runs, std::greater<>{});
  return runs[static_cast<std::size_t>(place)].second;
}

// Seconds from the fault to the ejection; and what callers saw meanwhile,
// beside calling the servers in turn.
void MeasureDetection(const Bench& bench,
                      const std::string& fault,
                      const std::string& query,
                      Measurements& measurements) {
  std::vector<double> times;
  std::vector<LoadResult> proxied;
  std::vector<LoadResult> direct;
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round) {
    std::string server;
    const std::vector<int> runs_before = CountRuns(bench);
    const double before = CountEjections(bench);
    LoadStream plain = ServiceStream(bench, 40);
    const std::vector<std::string> all = bench.fleet.server_addresses();
    plain.fixed_addresses = {
        all.begin(), all.begin() + bench.profile.services.front().servers};
    plain.max_attempts = 1;
    LoadGenerator load(bench.fleet.http(), bench.addresses,
                       {ServiceStream(bench, 90), plain},
                       bench.seed + static_cast<unsigned>(round));
    TimePoint fault_at;
    double detected_after = -1;
    load.Run(seconds(7), [&](Duration elapsed) {
      if (elapsed >= seconds(2) && fault_at == TimePoint()) {
        server = "server=" +
                 std::to_string(BusiestServer(bench, runs_before, round));
        bench.fleet.SetServerFault(server + "&" + query);
        fault_at = bench.fleet.http().Now();
      }
      const bool is_waiting = fault_at != TimePoint() && detected_after < 0;
      if (is_waiting && CountEjections(bench) > before) {
        detected_after =
            std::chrono::duration<double>(bench.fleet.http().Now() - fault_at)
                .count();
      }
    });
    times.push_back(detected_after < 0 ? 99 : detected_after);
    bench.fleet.SetServerFault(server + "&slow=1&fail_percent=0&hang=0");
    const auto own = FilterByStream(load.results(), 0);
    const auto plain_results = FilterByStream(load.results(), 1);
    proxied.insert(proxied.end(), own.begin(), own.end());
    direct.insert(direct.end(), plain_results.begin(), plain_results.end());
    bench.fleet.RunFor(seconds(4));
  }
  std::ranges::sort(times);
  measurements.push_back(Make(bench, fault + ": detected after, median",
                              MedianOf(times), "s", {{"aim", 1}}));
  measurements.push_back(Make(bench, fault + ": detected after, worst",
                              times.back(), "s", {{"aim", 3}}));
  measurements.push_back(Make(bench, fault + ": answered",
                              AnsweredPercent(proxied), "%",
                              {{"round robin", AnsweredPercent(direct)}}));
  measurements.push_back(
      Make(bench, fault + ": latency p99", LatencyQuantileMs(proxied, 0.99),
           "ms", {{"round robin", LatencyQuantileMs(direct, 0.99)}}));
}

void MeasureWorstServed(const Bench& bench, Measurements& measurements) {
  LoadGenerator alone(bench.fleet.http(), bench.addresses,
                      MakeStreams(bench, 0.6), bench.seed);
  alone.Run(seconds(25));
  std::vector<LoadStream> streams = MakeStreams(bench, 0.6);
  streams[0].rate_per_second = 5 * bench.profile.workspaces[0].rate_per_second;
  LoadGenerator crowded(bench.fleet.http(), bench.addresses, streams,
                        bench.seed);
  crowded.Run(seconds(25));
  double worst_served = 100;
  double worst_ratio = 0;
  std::vector<LoadResult> others;
  std::vector<LoadResult> others_alone;
  std::size_t wrongful = 0;
  std::size_t oracle = 0;
  std::size_t split = 0;
  std::size_t sent = 0;
  for (std::size_t i = 1; i < streams.size(); ++i) {
    const auto own = FilterByStream(crowded.results(), i);
    const auto before = FilterByStream(alone.results(), i);
    const ProfileWorkspace& workspace = bench.profile.workspaces[i];
    worst_served = std::min(worst_served, AnsweredPercent(own));
    const double alone_p99 = LatencyQuantileMs(before, 0.99);
    worst_ratio =
        std::max(worst_ratio, LatencyQuantileMs(own, 0.99) / alone_p99);
    others.insert(others.end(), own.begin(), own.end());
    others_alone.insert(others_alone.end(), before.begin(), before.end());
    sent += own.size();
    wrongful += CountOutcome(own, LoadOutcome::kRateLimited) +
                CountOutcome(own, LoadOutcome::kNotRun);
    oracle += CountSingleBucketRefusals(own, workspace.rate_per_second,
                                        workspace.burst);
    split += CountEvenSplitRefusals(own, workspace.rate_per_second,
                                    workspace.burst, bench.profile.instances);
  }
  measurements.push_back(Make(bench, "neighbour x5: worst workspace answered",
                              worst_served, "%", {{"aim", 99}}));
  measurements.push_back(Make(bench, "neighbour x5: worst p99 against alone",
                              worst_ratio, "times", {{"aim", 1.5}}));
  measurements.push_back(Make(
      bench, "neighbour x5: p99 of all others against alone",
      LatencyQuantileMs(others, 0.99) / LatencyQuantileMs(others_alone, 0.99),
      "times", {{"aim", 1.5}}));
  measurements.push_back(Make(bench,
                              "neighbour x5: refused although within the rate",
                              Percent(wrongful, sent), "%",
                              {{"one bucket", Percent(oracle, sent)},
                               {"even split", Percent(split, sent)}}));
}

std::vector<LoadResult> Refused(const std::vector<LoadResult>& results) {
  std::vector<LoadResult> refused;
  std::ranges::copy_if(results, std::back_inserter(refused),
                       [](const LoadResult& result) {
                         return result.outcome != LoadOutcome::kServed;
                       });
  return refused;
}

void MeasureOutage(const Bench& bench, Measurements& measurements) {
  bench.fleet.SetPlatformFault("down=1");
  LoadGenerator load(bench.fleet.http(), bench.addresses,
                     MakeStreams(bench, 0.6), bench.seed + 5);
  load.Run(seconds(20));
  bench.fleet.SetPlatformFault("down=0");
  bench.fleet.RunFor(seconds(3));
  measurements.push_back(
      Make(bench, "log away 20 s: not answered",
           Percent(Refused(load.results()).size(), load.results().size()), "%",
           {{"aim", 0}}));
}

void MeasureDomainMove(const Bench& bench, Measurements& measurements) {
  long withdrawn_ms = 0;
  bool is_restored = false;
  const DomainChange out{0, "domain-1", DomainAvailability::kWithdrawn};
  const DomainChange in{0, "domain-1", DomainAvailability::kInService};
  long last_run_ms = 0;
  LoadGenerator load(bench.fleet.http(), bench.addresses,
                     MakeStreams(bench, 0.6), bench.seed + 6);
  load.Run(seconds(20), [&](Duration elapsed) {
    if (elapsed >= seconds(3) && withdrawn_ms == 0) {
      bench.fleet.PublishBody(out);
      withdrawn_ms = WallClockMilliseconds();
    }
    if (elapsed >= seconds(11) && !is_restored) {
      is_restored = true;
      const Json::Value stats = bench.fleet.ServerStats();
      for (int i = 1; i < bench.fleet.server_count();
           i += bench.profile.failure_domains) {
        last_run_ms =
            std::max<long>(last_run_ms, stats[i]["last_run_ms"].asInt64());
      }
      bench.fleet.PublishBody(in);
    }
  });
  measurements.push_back(
      Make(bench, "domain withdrawn: last new work after",
           static_cast<double>(last_run_ms - withdrawn_ms) / 1000, "s",
           {{"bound", 4}}));
  measurements.push_back(Make(bench, "domain leaves and returns: answered",
                              AnsweredPercent(load.results()), "%"));
  measurements.push_back(Make(bench, "domain leaves and returns: latency p99",
                              LatencyQuantileMs(load.results(), 0.99), "ms"));
}

void MeasureOwnerKill(const Bench& bench, Measurements& measurements) {
  const int owner =
      bench.fleet.OwnerOfWorkspaceShard(bench.profile.workspaces[2].name, 0);
  if (owner < 0) {
    return;
  }
  bool is_killed = false;
  LoadGenerator load(bench.fleet.http(), bench.addresses,
                     MakeStreams(bench, 0.6), bench.seed + 7);
  load.Run(seconds(14), [&](Duration elapsed) {
    if (elapsed >= seconds(2) && !is_killed) {
      is_killed = true;
      bench.fleet.KillInstance(owner);
    }
  });
  const auto own = FilterByStream(load.results(), 2);
  const ProfileWorkspace& workspace = bench.profile.workspaces[2];
  measurements.push_back(
      Make(bench, "home killed: its workspace not answered",
           Percent(Refused(own).size(), own.size()), "%",
           {{"one bucket",
             Percent(CountSingleBucketRefusals(own, workspace.rate_per_second,
                                               workspace.burst),
                     own.size())}}));
  measurements.push_back(Make(
      bench, "home killed: all not answered",
      Percent(Refused(load.results()).size(), load.results().size()), "%"));
}

void MeasureControl(const Bench& bench, Measurements& measurements) {
  double bytes = 0;
  double memory = 0;
  const auto read = [&] {
    double sum = 0;
    for (int i = 0; i < bench.profile.instances; ++i) {
      sum += bench.fleet.Metrics(i)["parsleyquay_peer_sent_bytes_total"];
    }
    return sum;
  };
  const double before = read();
  const TimePoint start = bench.fleet.http().Now();
  LoadGenerator load(bench.fleet.http(), bench.addresses,
                     MakeStreams(bench, 0.6), bench.seed + 8);
  load.Run(seconds(10));
  const double elapsed =
      std::chrono::duration<double>(bench.fleet.http().Now() - start).count();
  bytes = (read() - before) / elapsed / bench.profile.instances;
  for (int i = 0; i < bench.profile.instances; ++i) {
    memory = std::max(
        memory,
        ReadProcessUsage(bench.fleet.instance(i).id()).resident_megabytes);
  }
  measurements.push_back(Make(bench, "under load: control sent by one instance",
                              bytes, "B/s", {{"budget", 2048}}));
  measurements.push_back(Make(bench, "under load: most memory of one instance",
                              memory, "MB", {{"budget", 64}}));
}

void MeasureSlowServer(const Bench& bench, Measurements& measurements) {
  MeasureDetection(bench, "server slow x20", "slow=20", measurements);
}

void MeasureFailingServer(const Bench& bench, Measurements& measurements) {
  MeasureDetection(bench, "server fails 10 %", "fail_percent=10", measurements);
}

void MeasureHangingServer(const Bench& bench, Measurements& measurements) {
  MeasureDetection(bench, "server never answers", "hang=1", measurements);
}

// One part of the measures of a profile; any part can be run alone.
struct Part {
  std::string_view name;
  void (*measure)(const Bench&, Measurements&);
};

constexpr Part kParts[] = {
    {"in-force", MeasureInForce},       {"control", MeasureControl},
    {"healthy", MeasureFalseEjections}, {"slow", MeasureSlowServer},
    {"fails", MeasureFailingServer},    {"hangs", MeasureHangingServer},
    {"neighbour", MeasureWorstServed},  {"outage", MeasureOutage},
    {"domain", MeasureDomainMove},      {"home-kill", MeasureOwnerKill},
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
  const Bench bench{fleet, profile, seed, fleet.http_addresses()};
  for (const Part& part : kParts) {
    if (only.empty() || part.name == only) {
      part.measure(bench, measurements);
    }
  }
  return measurements;
}

}  // namespace parsleyquay
