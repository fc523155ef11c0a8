#ifndef PARSLEYQUAY_OPERATIONS_EXPLAIN_REQUEST_H_
#define PARSLEYQUAY_OPERATIONS_EXPLAIN_REQUEST_H_

#include <string>
#include <vector>

namespace parsleyquay {

// What collected logs say of one request.
struct RequestExplanation {
  // The lines that bear on it, in the order of their time: those with its id,
  // and before each attempt what the same instance last learnt of the server.
  std::vector<std::string> lines;
  // The cause in a sentence; "" when no line names the request.
  std::string summary;

  bool operator==(const RequestExplanation&) const = default;
};

// Goes through the lines of all instances' logs, in any order.
RequestExplanation ExplainRequest(const std::vector<std::string>& log_lines,
                                  const std::string& request_id);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_OPERATIONS_EXPLAIN_REQUEST_H_
