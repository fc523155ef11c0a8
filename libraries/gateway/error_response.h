#ifndef PARSLEYQUAY_GATEWAY_ERROR_RESPONSE_H_
#define PARSLEYQUAY_GATEWAY_ERROR_RESPONSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/server_exchange.h"

namespace parsleyquay {

// Why a caller gets an answer that no backend server made.
enum class ErrorReason {
  kNotConfigured,  // no configuration is known yet
  kNoRoute,
  kInvalidApiKey,  // none, or one that nobody holds
  kHeadersTooLarge,
  kBodyTooLarge,
  kRateLimited,
  kNoServerAvailable,   // none may be used, or none would be in time
  kNotExecuted,         // servers refused it unrun, and no other may be tried
  kTimedOutBeforeSend,  // its time passed before it was sent
  kTimedOut,            // its time passed at a server
  kServerFailed,        // no whole answer came
};

struct ErrorResponse {
  ErrorReason reason = ErrorReason::kNoServerAvailable;
  // When the caller may try again; nothing when that would not help.
  std::optional<Duration> retry_after;

  bool operator==(const ErrorResponse&) const = default;
};

int StatusCodeOf(ErrorReason reason);
std::string_view ErrorReasonName(ErrorReason reason);

// Whether the answer promises that the request has not run and never will.
bool GuaranteesNotExecuted(ErrorReason reason);

void SendErrorResponse(ServerExchange& exchange,
                       const ErrorResponse& error_response);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_ERROR_RESPONSE_H_
