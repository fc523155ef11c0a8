#ifndef PARSLEYQUAY_ENTRY_ERROR_RESPONSE_H_
#define PARSLEYQUAY_ENTRY_ERROR_RESPONSE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// What the system says of a request that it does not answer with a backend
// server's own answer.
enum class RequestOutcome {
  kNotExecuted,  // no effect took place, and none will
  kUnknown,      // it may or may not have run
  kFailed,       // it is idempotent and did not succeed
};

// The body of such an answer: one JSON shape for all of them.
struct ErrorResponse {
  int status = 503;
  RequestOutcome outcome = RequestOutcome::kNotExecuted;
  std::string reason;  // one word, such as "over_limit"
  bool is_retryable = false;
  std::optional<Duration> retry_after;
  std::string request_id;
  std::string outcome_path;  // where the outcome can be asked for later
  std::vector<std::string> alternative_addresses;  // other instances to turn to

  bool operator==(const ErrorResponse&) const = default;
};

std::string RenderErrorBody(const ErrorResponse& error_response);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_ERROR_RESPONSE_H_
