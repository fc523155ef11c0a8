// The instance that serves on the users' platform: a thin main over the
// libraries and the platform's adapter.

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
              "INI file with the settings of this instance; by default the one "
              "that PARSLEYQUAY_BOOT names");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using parsleyquay::GatewaySettings;
using parsleyquay::LogField;
using parsleyquay::LogLevel;

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 1;

// Settings may change without a signal; they are looked at now and then.
constexpr parsleyquay::Duration kSettingsInterval = parsleyquay::seconds(2);

std::string SettingsPath() {
  if (!FLAGS_settings.empty()) {
    return FLAGS_settings;
  }
  const char* named = std::getenv("PARSLEYQUAY_BOOT");
  return named ? named : "";
}

// Reads and checks the settings; every fault is reported.
std::optional<GatewaySettings> LoadSettings(
    const std::string& path,
    const std::function<void(const std::string&)>& on_fault) {
  std::ifstream file(path);
  if (!file) {
    on_fault("cannot read settings file '" + path +
             "': expected --settings FILE");
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  const auto parsed = parsleyquay::ParseGatewaySettings(text.str());
  for (const parsleyquay::IniProblem& problem : parsed.problems) {
    on_fault(ToString(problem, path));
  }
  return parsed.problems.empty() ? std::optional(parsed.settings)
                                 : std::nullopt;
}

// The file's size and times of change, which tell whether it is another one.
std::string FileStamp(const std::string& path) {
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
  const auto settings = LoadSettings(path, [](const std::string& fault) {
    LogEvent(LogLevel::kError, "settings_refused", {{"fault", fault}});
  });
  if (settings) {
    gateway.UpdateSettings(*settings);
  }
}

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
  std::string stamp = FileStamp(path);
  parsleyquay::Timer settings_timer(loop, [&] {
    const std::string current = FileStamp(path);
    if (current != stamp) {
      stamp = current;
      Reload(*gateway, path);
    }
  });
  settings_timer.StartRepeating(kSettingsInterval);
  loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "serves callers as one instance of the fleet on the users' platform\n"
      "  parsleyquay-gateway [--settings FILE] [--check]\n"
      "exit codes: 0 done, 1 cannot start, 2 settings are wrong");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (sodium_init() < 0) {
    std::cerr << "cannot start libsodium\n";
    return kExitCannotStart;
  }
  const std::string path = SettingsPath();
  const auto settings = LoadSettings(
      path, [](const std::string& fault) { std::cerr << fault << '\n'; });
  if (!settings) {
    return kExitBadSettings;
  }
  if (FLAGS_check) {
    std::cout << "settings are good\n";
    return 0;
  }
  parsleyquay::InitializeEventLog(settings->name,
                                  parsleyquay::LogTarget::kStandardOutput);
  return Serve(*settings, path);
}
