// The program that runs one instance of the fleet on the users' platform.

#include <gflags/gflags.h>
#include <sodium.h>
#include <sys/stat.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "event/signal_watcher.h"
#include "gateway/gateway.h"
#include "logging/event_log.h"
#include "platform/platform_coordination_store.h"
#include "platform/platform_wire_protocol.h"

DEFINE_string(settings,
              "",
              "INI file with the settings of this instance; defaults to the "
              "path in the environment variable PARSLEYQUAY_BOOT");
DEFINE_bool(check, false, "validate the settings and exit");

namespace {

using parsleyquay::GatewaySettings;
using parsleyquay::LogField;
using parsleyquay::LogLevel;

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 1;

// The settings file may change without a SIGHUP, so it is polled.
constexpr parsleyquay::Duration kSettingsPollInterval = parsleyquay::seconds(2);

std::string SettingsPath() {
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* path = std::getenv("PARSLEYQUAY_BOOT");
  return path ? path : "";
}

// Reads and validates the settings file. Calls `on_problem` with each problem;
// returns std::nullopt if there is any.
std::optional<GatewaySettings> LoadSettings(
    const std::string& path,
    const std::function<void(const std::string&)>& on_problem) {
  std::ifstream file(path);
  if (!file) {
    on_problem("cannot read settings file '" + path +
               "': pass its path with --settings or in PARSLEYQUAY_BOOT");
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  const auto parsed = parsleyquay::ParseGatewaySettings(text.str());
  for (const parsleyquay::IniProblem& problem : parsed.problems) {
    on_problem(ToString(problem, path));
  }
  return parsed.problems.empty() ? std::optional(parsed.settings)
                                 : std::nullopt;
}

// Returns the file's size, modification time and inode, which change when the
// file is written or replaced. Returns "" if the file cannot be examined.
std::string FileVersion(const std::string& path) {
  struct stat status = {};
  if (stat(path.c_str(), &status) != 0) {
    return "";
  }
  return std::to_string(status.st_size) + "/" +
         std::to_string(status.st_mtim.tv_sec) + "." +
         std::to_string(status.st_mtim.tv_nsec) + "/" +
         std::to_string(status.st_ino);
}

void Reload(parsleyquay::Gateway& gateway, const std::string& path) {
  const auto settings = LoadSettings(path, [](const std::string& problem) {
    LogEvent(LogLevel::kError, "settings_refused", {{"fault", problem}});
  });
  if (settings) {
    gateway.UpdateSettings(*settings);
  }
}

// Runs the instance until it has shut down. Returns the exit code.
int Serve(const GatewaySettings& settings, const std::string& path) {
  parsleyquay::EventLoop loop;
  parsleyquay::HttpClient http(loop);
  const auto store = std::make_shared<parsleyquay::platform::StoreClient>(
      http, settings.store_address);
  std::unique_ptr<parsleyquay::Gateway> gateway;
  const bool has_started = parsleyquay::RunOrReport(
      [&]() -> parsleyquay::Result<void> {
        BOOST_LEAF_ASSIGN(
            gateway, parsleyquay::Gateway::Create(
                         loop, http, settings,
                         parsleyquay::platform::MakePlatformCoordinationStore(
                             store, settings.shard_count),
                         parsleyquay::platform::MakePlatformWireProtocol()));
        return {};
      },
      [](const parsleyquay::Error& error) {
        parsleyquay::LogError("cannot_start", error);
      });
  if (!has_started) {
    parsleyquay::FlushEventLog();
    return kExitCannotStart;
  }
  const parsleyquay::SignalWatcher terminate(loop, SIGTERM,
                                             [&] { gateway->BeginShutdown(); });
  const parsleyquay::SignalWatcher interrupt(loop, SIGINT,
                                             [&] { gateway->BeginShutdown(); });
  const parsleyquay::SignalWatcher hang_up(loop, SIGHUP,
                                           [&] { Reload(*gateway, path); });
  std::string loaded_version = FileVersion(path);
  parsleyquay::Timer settings_timer(loop, [&] {
    const std::string version = FileVersion(path);
    if (version != loaded_version) {
      loaded_version = version;
      Reload(*gateway, path);
    }
  });
  settings_timer.StartRepeating(kSettingsPollInterval);
  loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs one instance of the HTTP proxy fleet\n"
      "  parsleyquay-gateway [--settings FILE] [--check]\n"
      "exit codes: 0 success, 1 cannot start, 2 invalid settings");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (sodium_init() < 0) {
    std::cerr << "cannot initialize libsodium\n";
    return kExitCannotStart;
  }
  const std::string path = SettingsPath();
  const auto settings = LoadSettings(
      path, [](const std::string& problem) { std::cerr << problem << '\n'; });
  if (!settings) {
    return kExitBadSettings;
  }
  if (FLAGS_check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  parsleyquay::InitializeEventLog(settings->name,
                                  parsleyquay::LogTarget::kStandardOutput);
  return Serve(*settings, path);
}
