#include <fstream>
#include <iostream>

#include "commands.h"
#include "operations/explain_request.h"

namespace parsleyquay {

int RunExplain(CommandContext&, const Arguments& arguments) {
  if (arguments.size() < 2) {
    return ReportUsageError("explain ID LOG...");
  }
  std::vector<std::string> lines;
  for (auto name = arguments.begin() + 1; name != arguments.end(); ++name) {
    std::ifstream file(*name);
    if (!file) {
      std::cerr << "cannot read log file '" << *name << "'\n";
      return kExitBadInput;
    }
    for (std::string line; std::getline(file, line);) {
      lines.push_back(std::move(line));
    }
  }
  const RequestExplanation found = ExplainRequest(lines, arguments.front());
  if (found.lines.empty()) {
    std::cerr << "no line names request '" << arguments.front() << "'\n";
    return kExitRefused;
  }
  for (const std::string& line : found.lines) {
    std::cout << line << '\n';
  }
  std::cout << found.summary << '\n';
  return kExitSuccess;
}

}  // namespace parsleyquay
