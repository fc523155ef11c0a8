#ifndef PARSLEYQUAY_UTILITIES_CLI_COMMANDS_H_
#define PARSLEYQUAY_UTILITIES_CLI_COMMANDS_H_

#include <string>
#include <vector>

#include "operations/blocking_http_client.h"

namespace parsleyquay {

enum ExitCode {
  kExitSuccess = 0,
  kExitRefused = 1,     // refused, with the reason on standard error
  kExitBadInput = 2,    // wrong usage or a file with faults
  kExitUnknown = 3,     // the platform or the fleet could not be asked
  kExitNotInForce = 4,  // accepted, but not in force everywhere in time
};

// What every command is given.
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

// Commands of operators; arguments follow the command's name.
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

// Commands of callers.
int RunResolve(CommandContext& context, const Arguments& arguments);
int RunRequest(CommandContext& context, const Arguments& arguments);

// Says what was wrong with the usage of a command.
int ReportUsageError(const std::string& expected);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_CLI_COMMANDS_H_
