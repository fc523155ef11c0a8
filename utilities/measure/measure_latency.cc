#include <algorithm>

#include "experiment/load_generator.h"
#include "experiment/process_usage.h"
#include "experiment/test_fleet.h"
#include "measure.h"

namespace parsleyquay {

namespace {

constexpr Duration kTime = seconds(6);

Measurements MeasureAt(TestFleet& fleet, double rate, unsigned seed) {
  LoadStream through{"alpha", fleet.key("alpha"), "GET", "/work/main/l", rate};
  through.fixed_addresses = {fleet.http_address(0)};
  LoadStream direct = through;
  direct.fixed_addresses = fleet.server_addresses();
  const ProcessUsage before = ReadProcessUsage(fleet.instance(0).id());
  // Both in one run, so that both meet the same machine.
  LoadGenerator load(fleet.http(), {fleet.http_address(0)}, {through, direct},
                     seed);
  load.Run(kTime);
  const ProcessUsage after = ReadProcessUsage(fleet.instance(0).id());
  const auto proxied = FilterByStream(load.results(), 0);
  const auto plain = FilterByStream(load.results(), 1);
  const std::string subject = std::to_string(static_cast<int>(rate)) + " req/s";
  const auto added = [&](double quantile) {
    return LatencyQuantileMs(proxied, quantile) -
           LatencyQuantileMs(plain, quantile);
  };
  const double processor_ms =
      1000 * (after.cpu_seconds - before.cpu_seconds) /
      static_cast<double>(std::max<std::size_t>(1, proxied.size()));
  return {
      {subject, "added latency p50", added(0.5), "ms", {}},
      {subject, "added latency p99", added(0.99), "ms", {{"goal", 4.1}}},
      {subject, "processor time for one request", processor_ms, "ms", {}},
      {subject, "memory of the instance", after.resident_megabytes, "MB", {}}};
}

}  // namespace

Measurements MeasureLatency(unsigned seed) {
  FleetOptions options;
  options.profile.services = {{"main", 12}};
  options.profile.work_ms = 5;
  options.profile.work_time_spread = 0;
  options.profile.workspaces = {{"alpha", 5'000, 5'000}};
  TestFleet fleet(options);
  if (!fleet.Start()) {
    return {};
  }
  Measurements measurements = MeasureAt(fleet, 75, seed);
  const Measurements more = MeasureAt(fleet, 500, seed);
  measurements.insert(measurements.end(), more.begin(), more.end());
  return measurements;
}

}  // namespace parsleyquay
