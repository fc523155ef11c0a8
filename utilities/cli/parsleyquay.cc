// The command line of operators and callers.

#include <gflags/gflags.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>

#include "base/socket_address.h"
#include "commands.h"

DEFINE_string(platform, "127.0.0.1:7100", "ip:port of the platform");
DEFINE_string(entries,
              "127.0.0.1:7300",
              "comma-separated list of ip:port of instances");
DEFINE_string(author, "operator", "author that is recorded with a change");
DEFINE_string(key, "", "the caller's key, for resolve and request");
DEFINE_string(idempotency_key, "", "for request: the idempotency key");
DEFINE_string(body, "", "for request: the request body");
DEFINE_string(html, "", "for report: also writes an HTML page to this file");
DEFINE_bool(json, false, "prints JSON");

namespace parsleyquay {
namespace {

struct Command {
  std::string_view name;
  int (*run)(CommandContext&, const Arguments&);
};

constexpr std::array<Command, 13> kCommands = {{
    {"validate", &RunValidate},
    {"diff", &RunDiff},
    {"publish", &RunPublish},
    {"withdraw", &RunWithdraw},
    {"restore", &RunRestore},
    {"key", &RunKey},
    {"remove", &RunRemove},
    {"status", &RunStatus},
    {"report", &RunReport},
    {"explain", &RunExplain},
    {"rollouts", &RunRollouts},
    {"resolve", &RunResolve},
    {"request", &RunRequest},
}};

constexpr char kUsage[] =
    "operates and uses a parsleyquay fleet\n"
    "  parsleyquay validate FILE          check a declaration\n"
    "  parsleyquay diff FILE              show what publishing it would "
    "change\n"
    "  parsleyquay publish FILE           publish a declaration\n"
    "  parsleyquay withdraw DOMAIN        stop using a failure domain\n"
    "  parsleyquay restore DOMAIN         use it again\n"
    "  parsleyquay key issue WORKSPACE    issue a key; prints it once\n"
    "  parsleyquay key withdraw KEY_ID    revoke a key\n"
    "  parsleyquay remove INSTANCE        remove an instance that has ended\n"
    "  parsleyquay status                 state of each instance\n"
    "  parsleyquay report [--html FILE]   error budget burn of the fleet\n"
    "  parsleyquay explain ID LOG...      explain a request from log files\n"
    "  parsleyquay rollouts [SERVICE]     share, phase and reason of "
    "rollouts;\n"
    "                                     --entries are metrics addresses\n"
    "  parsleyquay resolve --key KEY      addresses for a caller to use\n"
    "  parsleyquay request METHOD PATH --key KEY [--body TEXT]\n"
    "                                     send one request through the fleet\n"
    "exit codes: 0 done, 1 refused, 2 wrong usage or file,\n"
    "3 not reached or outcome unknown,\n"
    "4 accepted, but not applied by all instances in time";

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> parts;
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

int Run(const Arguments& words) {
  const auto command = std::ranges::find(
      kCommands, words.empty() ? "" : std::string_view(words.front()),
      &Command::name);
  if (command == kCommands.end()) {
    std::cerr << kUsage << '\n';
    return kExitBadInput;
  }
  const std::vector<std::string> entries = SplitAtCommas(FLAGS_entries);
  if (!IsSocketAddress(FLAGS_platform) ||
      !std::ranges::all_of(entries, &IsSocketAddress)) {
    return ReportUsageError("--platform and --entries as ip:port");
  }
  BlockingHttpClient http;
  CommandContext context{http,
                         FLAGS_platform,
                         FLAGS_author,
                         FLAGS_key,
                         FLAGS_idempotency_key,
                         FLAGS_body,
                         FLAGS_html,
                         entries,
                         FLAGS_json};
  return command->run(context, {words.begin() + 1, words.end()});
}

}  // namespace

int ReportUsageError(const std::string& expected) {
  std::cerr << "expected " << expected << "; see parsleyquay --help\n";
  return kExitBadInput;
}

}  // namespace parsleyquay

int main(int argc, char** argv) {
  gflags::SetUsageMessage(parsleyquay::kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (sodium_init() < 0) {
    return parsleyquay::kExitUnknown;
  }
  return parsleyquay::Run({argv + 1, argv + argc});
}
