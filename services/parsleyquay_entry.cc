// Main program of an entry instance.

#include <gflags/gflags.h>
#include <sodium.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "entry/entry_instance.h"
#include "event/signal_watcher.h"
#include "logging/event_log.h"

DEFINE_string(settings, "", "INI file with the settings of this instance");
DEFINE_bool(check, false, "check the settings file and exit");

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 1;

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs one entry instance of the fleet\n"
      "  parsleyquay-entry --settings FILE [--check]\n"
      "exit codes: 0 success, 1 startup failed, 2 invalid settings");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (sodium_init() < 0) {
    std::cerr << "cannot initialize libsodium\n";
    return kExitCannotStart;
  }
  std::ifstream file(FLAGS_settings);
  if (!file) {
    std::cerr << "cannot read settings file '" << FLAGS_settings
              << "': expected --settings FILE\n";
    return kExitBadSettings;
  }
  std::ostringstream text;
  text << file.rdbuf();
  const parsleyquay::ParsedSettings parsed =
      parsleyquay::ParseEntrySettings(text.str());
  for (const parsleyquay::IniProblem& problem : parsed.problems) {
    std::cerr << ToString(problem, FLAGS_settings) << '\n';
  }
  if (!parsed.problems.empty()) {
    return kExitBadSettings;
  }
  if (FLAGS_check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  parsleyquay::InitializeEventLog(parsed.settings.name);
  parsleyquay::EventLoop loop;
  std::unique_ptr<parsleyquay::EntryInstance> instance;
  const bool has_started = parsleyquay::RunOrReport(
      [&]() -> parsleyquay::Result<void> {
        BOOST_LEAF_ASSIGN(instance, parsleyquay::EntryInstance::Create(
                                        loop, parsed.settings));
        return {};
      },
      [](const parsleyquay::Error& error) {
        parsleyquay::LogError("cannot_start", error);
      });
  if (!has_started) {
    return kExitCannotStart;
  }
  const parsleyquay::SignalWatcher terminate(
      loop, SIGTERM, [&] { instance->BeginShutdown(); });
  const parsleyquay::SignalWatcher interrupt(
      loop, SIGINT, [&] { instance->BeginShutdown(); });
  loop.Run();
  return 0;
}
