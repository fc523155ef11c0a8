#ifndef PARSLEYQUAY_TESTS_SUPPORT_CONFIGURATION_TEXT_H_
#define PARSLEYQUAY_TESTS_SUPPORT_CONFIGURATION_TEXT_H_

#include <string>
#include <vector>

namespace parsleyquay {

// A workspace of the configuration.
struct WorkspaceText {
  std::string name;
  std::string keys;  // API keys, as a JSON array without its brackets
  int rate = 0;      // requests per second; 0: no limit
  int burst = 0;     // requests
};

// Returns a configuration in the JSON format in which the platform's operators
// publish it. Requests under /safe/ are idempotent, requests under /once/ are
// not; both go to the service "work".
std::string ConfigurationText(int version,
                              const std::vector<WorkspaceText>& workspaces);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_CONFIGURATION_TEXT_H_
