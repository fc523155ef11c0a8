#ifndef PARSLEYQUAY_ENTRY_ERROR_RESPONSE_H_
#define PARSLEYQUAY_ENTRY_ERROR_RESPONSE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// Outcome of a request for which the caller gets no response of a backend
// server.
enum class RequestOutcome {
  kNotExecuted,  // was not executed and will not be
  kUnknown,      // may or may not have been executed
  kFailed,       // is idempotent and did not succeed
};

// The response that the instance itself makes to such a request. All of them
// have a JSON body with the same fields.
struct ErrorResponse {
  int status = 503;
  RequestOutcome outcome = RequestOutcome::kNotExecuted;
  std::string reason;  // one identifier, such as "over_limit"
  bool is_retryable = false;
  std::optional<Duration> retry_after;
  std::string request_id;
  std::string outcome_path;  // target at which the outcome can be looked up
  std::vector<std::string>
      alternative_addresses;  // other instances to retry at

  bool operator==(const ErrorResponse&) const = default;
};

// Returns the JSON body. The status is not part of it.
std::string RenderErrorBody(const ErrorResponse& error_response);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_ERROR_RESPONSE_H_
