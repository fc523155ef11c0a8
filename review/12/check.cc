// Review case 12: the store turns a third of the instances away, among them
// those that read the configuration for others; how long the other instances
// serve a route that was dropped meanwhile.

#include <algorithm>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "../tools-3/harness.h"

namespace {

using review::Clock;
using review::Milliseconds;

// Three failure domains with six instances each; six of the eighteen (0.33) are
// turned away.
constexpr int kDomains = 3;
constexpr int kInstancesPerDomain = 6;

// The longest time that the site files give for this disruption.
constexpr Milliseconds kTurnedAway(9'000);
// From the beginning of the disruption to the new configuration.
constexpr Milliseconds kDroppedAfter(1'200);
constexpr Milliseconds kLength(12'000);

// `config_apply` and `max_stretch`.
constexpr double kBound = 2.0 + 5.0;

// Longer than `stable_window`, after the start of the last process.
constexpr Milliseconds kSettle(9'000);
constexpr Milliseconds kHeartbeat(1'500);
constexpr Milliseconds kProbeInterval(100);
constexpr Milliseconds kTimeout(1'000);

std::string Configuration(int version, bool has_route) {
  std::vector<std::string> resources = {
      review::RouteJson("kept", "safe", "work", true),
      review::ServiceJson("work"), review::LimitsJson()};
  if (has_route) {
    resources.push_back(review::RouteJson("dropped", "safe", "work", true));
  }
  return review::ConfigurationJson(version, resources);
}

// Returns whether the newest role in the instance's log is that of a reader for
// others, or of its substitute.
bool ReadsForOthers(const std::string& log) {
  const auto role = log.rfind("event=role ");
  const std::string line = role == std::string::npos
                               ? ""
                               : log.substr(role, log.find('\n', role) - role);
  return line.find("aggregator=yes") != std::string::npos ||
         line.find("standby=yes") != std::string::npos;
}

int Run() {
  review::Record record("review/12/record.txt");
  std::vector<std::string> domains;
  for (int i = 0; i < kDomains * kInstancesPerDomain; ++i) {
    domains.push_back("zone-" + std::to_string(i % kDomains));
  }
  review::Backend backend("i-1", Milliseconds(5));
  review::Fleet fleet({.failure_domains = domains});
  if (!fleet.Start(Configuration(1, true))) {
    record.Line("the fleet did not start");
    return review::kCouldNotRun;
  }
  const auto settled = Clock::now() + kSettle;
  auto next_heartbeat = Clock::now();
  const auto heartbeat_if_due = [&] {
    if (Clock::now() >= next_heartbeat) {
      next_heartbeat = Clock::now() + kHeartbeat;
      fleet.ListServer(backend, "work", "zone-0", "0ms");
    }
  };
  while (Clock::now() < settled) {
    heartbeat_if_due();
    std::this_thread::sleep_for(kProbeInterval);
  }
  std::vector<std::size_t> turned_away;
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    (ReadsForOthers(fleet.Log(i)) ? turned_away : others).push_back(i);
  }
  record.Line(std::to_string(turned_away.size()) + " of " +
              std::to_string(fleet.size()) + " instances read for others");
  if (turned_away.size() != 2 * kDomains) {
    return review::kCouldNotRun;
  }
  // Before the disruption each of the others serves the route.
  for (const std::size_t instance : others) {
    const int status =
        review::Exchange(fleet.ports(instance).requests,
                         "GET /dropped/1 HTTP/1.1\r\nHost: a.example\r\n"
                         "Request-Id: before-" +
                             std::to_string(instance) +
                             "\r\nRequest-Deadline: 1000\r\n\r\n",
                         kTimeout, kTimeout)
            .status;
    record.Line("instance " + std::to_string(instance) + " before: status " +
                std::to_string(status));
    if (status != 200) {
      return review::kCouldNotRun;
    }
  }
  const auto began_at = Clock::now();
  const auto set_fault = [&](const std::string& fault) {
    if (!review::WantsDisruption()) {
      return;
    }
    for (const std::size_t instance : turned_away) {
      fleet.SetStoreFault(fault + "=" + std::to_string(instance));
      record.Line("store: " + fault + " for instance " +
                  std::to_string(instance));
    }
  };
  set_fault("down");
  std::this_thread::sleep_until(began_at + kDroppedAfter);
  const auto put_at = Clock::now();
  if (!fleet.Put("keyed.op", "config", Configuration(2, false))) {
    return review::kCouldNotRun;
  }
  const auto acknowledged_at = Clock::now();
  record.Line("configuration 2, without the route, is acknowledged");
  bool is_turned_away = true;
  double latest = 0;
  int run_late = 0;
  while (Clock::now() - put_at < kLength) {
    heartbeat_if_due();
    if (is_turned_away && Clock::now() >= began_at + kTurnedAway) {
      is_turned_away = false;
      set_fault("up");
    }
    for (const std::size_t instance : others) {
      const double sent_at =
          std::chrono::duration<double>(Clock::now() - acknowledged_at).count();
      const std::string id = "q-" + std::to_string(instance) + "-" +
                             std::to_string(record.Seconds());
      const review::Response response = review::Exchange(
          fleet.ports(instance).requests,
          "GET /dropped/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
              "\r\nRequest-Deadline: 1000\r\n\r\n",
          kTimeout, kTimeout);
      record.Line("instance " + std::to_string(instance) + " request " + id +
                  " sent " + std::to_string(sent_at) +
                  " s after the acknowledgement: status " +
                  std::to_string(response.status));
      if (response.status == 200) {
        latest = std::max(latest, sent_at);
        run_late += sent_at > kBound ? 1 : 0;
      }
    }
    std::this_thread::sleep_for(kProbeInterval);
  }
  review::RecordRuns(record, backend);
  const std::string result =
      "requests on the dropped route that ran later than 7 s after the "
      "acknowledgement: " +
      std::to_string(run_late) + ", the last at " + std::to_string(latest) +
      " s";
  record.Line(result);
  std::cout << result << '\n';
  return run_late > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main() {
  return Run();
}
