#ifndef PARSLEYQUAY_TESTS_SUPPORT_CONFIGURATION_TEXT_H_
#define PARSLEYQUAY_TESTS_SUPPORT_CONFIGURATION_TEXT_H_

#include <string>
#include <vector>

namespace parsleyquay {

struct WorkspaceText {
  std::string name;
  std::string keys;  // as a JSON list without its brackets
  int rate = 0;      // requests a second; 0: no limit
  int burst = 0;
};

// A configuration as the platform's operators write it: idempotent requests
// under /safe/, others under /once/, all to the service "work".
std::string ConfigurationText(int version,
                              const std::vector<WorkspaceText>& workspaces);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_CONFIGURATION_TEXT_H_
