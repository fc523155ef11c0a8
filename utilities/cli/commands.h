#ifndef PARSLEYQUAY_UTILITIES_CLI_COMMANDS_H_
#define PARSLEYQUAY_UTILITIES_CLI_COMMANDS_H_

#include <string>
#include <vector>

#include "operations/blocking_http_client.h"

namespace parsleyquay {

enum ExitCode {
  kExitSuccess = 0,
  kExitRefused = 1,     // refused; standard error has the reason
  kExitBadInput = 2,    // wrong usage, or a file that is unreadable or invalid
  kExitUnknown = 3,     // platform or fleet not reached, or outcome unknown
  kExitNotApplied = 4,  // accepted, but not applied by all instances in time
};

// The flags of the command line, and the HTTP client that commands use.
struct CommandContext {
  BlockingHttpClient& http;
  std::string platform;  // "ip:port"
  std::string author;
  std::string key;
  std::string idempotency_key;
  std::string body;
  std::string html_file;
  std::vector<std::string> instance_addresses;  // HTTP addresses of instances
  bool prints_json = false;
};

using Arguments = std::vector<std::string>;

// Commands of operators. `arguments` are the words after the command's name.
// All commands return the exit code of the process.
int RunValidate(CommandContext& context, const Arguments& arguments);
int RunDiff(CommandContext& context, const Arguments& arguments);
int RunPublish(CommandContext& context, const Arguments& arguments);
int RunWithdraw(CommandContext& context, const Arguments& arguments);
int RunRestore(CommandContext& context, const Arguments& arguments);
int RunKey(CommandContext& context, const Arguments& arguments);
int RunRemove(CommandContext& context, const Arguments& arguments);
int RunStatus(CommandContext& context, const Arguments& arguments);
int RunReport(CommandContext& context, const Arguments& arguments);
int RunExplain(CommandContext& context, const Arguments& arguments);
// Shows the rollouts as the instances know them, by their metrics addresses.
int RunRollouts(CommandContext& context, const Arguments& arguments);

// Commands of callers.
int RunResolve(CommandContext& context, const Arguments& arguments);
int RunRequest(CommandContext& context, const Arguments& arguments);

// Prints to standard error what a command expects, and returns kExitBadInput.
int ReportUsageError(const std::string& expected);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_CLI_COMMANDS_H_
