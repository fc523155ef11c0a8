#ifndef PARSLEYQUAY_OPERATIONS_EXPLAIN_REQUEST_H_
#define PARSLEYQUAY_OPERATIONS_EXPLAIN_REQUEST_H_

#include <string>
#include <vector>

namespace parsleyquay {

// The log lines of one request and a summary of its outcome.
struct RequestExplanation {
  // The lines with the request's id in order of time. Each attempt is preceded
  // by the latest earlier lines in which the same instance logged the server's
  // listing and estimated health.
  std::vector<std::string> lines;
  // The cause of the outcome in sentences; "" if no line names the request.
  std::string summary;

  bool operator==(const RequestExplanation&) const = default;
};

// Explains a request by the log lines of all instances, which may be in any
// order.
RequestExplanation ExplainRequest(const std::vector<std::string>& log_lines,
                                  const std::string& request_id);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_OPERATIONS_EXPLAIN_REQUEST_H_
