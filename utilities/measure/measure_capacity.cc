#include <algorithm>
#include <iostream>

#include "experiment/load_generator.h"
#include "experiment/process_usage.h"
#include "experiment/test_fleet.h"
#include "fleet/fleet_state.h"
#include "fleet/record_codec.h"
#include "fleet/snapshot.h"
#include "measure.h"

namespace parsleyquay {

namespace {

constexpr Duration kQuietTime = seconds(8);
constexpr std::size_t kSectionsPerRecord = 500;

// Control of a fleet without requests: what each instance sends and uses.
Measurements MeasureInstances(int instances) {
  FleetOptions options;
  options.profile = RegistryProfile();
  options.profile.instances = instances;
  TestFleet fleet(options);
  if (!fleet.Start()) {
    return {};
  }
  fleet.RunFor(seconds(3));
  struct Reading {
    double sent_bytes = 0;
    ProcessUsage usage;
  };
  const auto read = [&](int i) {
    return Reading{fleet.Metrics(i)["parsleyquay_peer_sent_bytes_total"],
                   ReadProcessUsage(fleet.instance(i).id())};
  };
  std::vector<Reading> before;
  for (int i = 0; i < instances; ++i) {
    before.push_back(read(i));
  }
  const TimePoint start = fleet.http().Now();
  fleet.RunFor(kQuietTime);
  const auto collect = [&](const std::string& subject) {
    double bytes = 0;
    double processor = 0;
    double memory = 0;
    const double elapsed =
        std::chrono::duration<double>(fleet.http().Now() - start).count();
    for (int i = 0; i < instances; ++i) {
      const Reading after = read(i);
      const Reading& old = before[static_cast<std::size_t>(i)];
      bytes += (after.sent_bytes - old.sent_bytes) / elapsed / instances;
      processor += 100 * (after.usage.cpu_seconds - old.usage.cpu_seconds) /
                   elapsed / instances;
      memory += after.usage.resident_megabytes / instances;
    }
    return Measurements{
        {subject, "control sent by one instance", bytes, "B/s", {}},
        {subject, "processor of one instance", processor, "%", {}},
        {subject, "memory of one instance", memory, "MB", {}}};
  };
  return collect(std::to_string(instances) + " instances");
}

Record MakeSections(std::uint64_t base,
                    const std::string& kind,
                    int first,
                    int count) {
  DeclarationChange change{base, {}};
  for (int i = first; i < first + count; ++i) {
    const std::string name = std::to_string(i);
    if (kind == "workspace") {
      change.changes.push_back(
          {"workspace member-" + name,
           {{"rate_per_second", "10"}, {"burst", "10"}, {"share", "1"}}});
    } else {
      change.changes.push_back({"route route-" + name,
                                {{"path", "/r/" + name},
                                 {"service", "lookup"},
                                 {"class", "read"},
                                 {"open", "no"}}});
    }
  }
  return {"capacity-" + kind + "-" + std::to_string(first), "measure",
          std::move(change)};
}

// Loads sections into a running instance by way of the log.
Measurements MeasureSections(const std::string& kind, int count) {
  FleetOptions options;
  options.profile = RegistryProfile();
  options.profile.instances = 1;
  TestFleet fleet(options);
  if (!fleet.Start()) {
    return {};
  }
  const std::uint64_t base = fleet.ReadState().next_offset;
  const ProcessUsage before = ReadProcessUsage(fleet.instance(0).id());
  const TimePoint start = fleet.http().Now();
  for (int first = 0; first < count;
       first += static_cast<int>(kSectionsPerRecord)) {
    const int size =
        std::min(count - first, static_cast<int>(kSectionsPerRecord));
    CallRequest append;
    append.method = "POST";
    append.address = fleet.platform();
    append.target = "/log";
    fleet.http().Fetch(append,
                       EncodeRecord(MakeSections(base, kind, first, size)));
  }
  const std::string field = kind + "s";
  const bool is_loaded = fleet.WaitFor(
      [&] { return fleet.Status(0)[field].asInt() >= count; }, seconds(60));
  const double elapsed =
      std::chrono::duration<double>(fleet.http().Now() - start).count();
  fleet.RunFor(seconds(2));
  const ProcessUsage after = ReadProcessUsage(fleet.instance(0).id());
  const std::string subject = std::to_string(count) + " " + field;
  return {
      {subject, "loaded", is_loaded ? 1.0 : 0.0, "", {}},
      {subject, "until loaded through the log", elapsed, "s", {}},
      {subject, "memory of the instance", after.resident_megabytes, "MB", {}},
      {subject,
       "processor time to load",
       after.cpu_seconds - before.cpu_seconds,
       "s",
       {}}};
}

}  // namespace

Measurements MeasureCapacity(unsigned) {
  Measurements all;
  const auto add = [&](const Measurements& measurements) {
    all.insert(all.end(), measurements.begin(), measurements.end());
    for (const Measurement& measurement : measurements) {
      std::cerr << measurement.subject << ": " << measurement.name << ' '
                << measurement.value << ' ' << measurement.unit << '\n';
    }
  };
  for (const int servers : {10, 20, 41, 82}) {
    add(MeasureHealthEvaluation(servers));
  }
  for (const int instances : {5, 10, 20, 40}) {
    add(MeasureInstances(instances));
  }
  for (const int workspaces : {1'000, 9'000, 35'000, 71'000}) {
    add(MeasureSections("workspace", workspaces));
  }
  for (const int routes : {1'000, 4'000, 8'000, 15'000}) {
    add(MeasureSections("route", routes));
  }
  return all;
}

}  // namespace parsleyquay
