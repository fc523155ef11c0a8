#ifndef PARSLEYQUAY_GATEWAY_ERROR_RESPONSE_H_
#define PARSLEYQUAY_GATEWAY_ERROR_RESPONSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/server_exchange.h"

namespace parsleyquay {

// Why the instance itself responds to a request with an error.
enum class ErrorReason {
  kNotConfigured,     // no configuration has been read yet
  kMalformedRequest,  // receivers may disagree about where the request ends
  kNoRoute,
  kInvalidApiKey,  // the API key is missing or unknown
  kHeadersTooLarge,
  kBodyTooLarge,
  kRateLimited,          // the workspace has exceeded its rate limit
  kNoServerAvailable,    // no server is available, or likely to respond in time
  kOverloaded,           // it would wait too long for a server
  kNotExecuted,          // no server executed it, and no other one may be tried
  kLeaving,              // the instance exits too soon to serve the request
  kTimedOutNotExecuted,  // at the deadline no server can have executed it
  kTimedOut,             // at the deadline a server may have executed it
  // A server may have executed it, but no response can be forwarded.
  kServerFailed,
};

struct ErrorResponse {
  ErrorReason reason = ErrorReason::kNoServerAvailable;
  // Delay for the Retry-After header; unset if a retry would not help.
  std::optional<Duration> retry_after;

  bool operator==(const ErrorResponse&) const = default;
};

// The HTTP status code of the response.
int StatusCodeOf(ErrorReason reason);

// The reason's name in response bodies, the log and metrics.
std::string_view ErrorReasonName(ErrorReason reason);

// Returns whether the response guarantees the client that the request was not
// executed and never will be.
bool GuaranteesNotExecuted(ErrorReason reason);

// Sends the response with a JSON body that says whether the request may have
// been executed, and why it failed.
void SendErrorResponse(ServerExchange& exchange,
                       const ErrorResponse& error_response);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_ERROR_RESPONSE_H_
