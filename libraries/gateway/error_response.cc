#include "gateway/error_response.h"

#include <array>
#include <cstdio>

namespace parsleyquay {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kContentTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kHeaderFieldsTooLarge = 431;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::string FormatSeconds(Duration duration) {
  std::array<char, 32> text = {};
  std::snprintf(text.data(), text.size(), "%.3f", ToSeconds(duration));
  return text.data();
}

}  // namespace

int StatusCodeOf(ErrorReason reason) {
  switch (reason) {
    case ErrorReason::kMalformedRequest:
      return kBadRequest;
    case ErrorReason::kNoRoute:
      return kNotFound;
    case ErrorReason::kInvalidApiKey:
      return kUnauthorized;
    case ErrorReason::kHeadersTooLarge:
      return kHeaderFieldsTooLarge;
    case ErrorReason::kBodyTooLarge:
      return kContentTooLarge;
    case ErrorReason::kRateLimited:
      return kTooManyRequests;
    case ErrorReason::kNotConfigured:
    case ErrorReason::kNoServerAvailable:
    case ErrorReason::kOverloaded:
    case ErrorReason::kNotExecuted:
    case ErrorReason::kLeaving:
    case ErrorReason::kTimedOutNotExecuted:
      return kServiceUnavailable;
    case ErrorReason::kTimedOut:
      return kGatewayTimeout;
    case ErrorReason::kServerFailed:
      return kBadGateway;
  }
  return kBadGateway;
}

std::string_view ErrorReasonName(ErrorReason reason) {
  switch (reason) {
    case ErrorReason::kNotConfigured:
      return "not_configured";
    case ErrorReason::kMalformedRequest:
      return "malformed_request";
    case ErrorReason::kNoRoute:
      return "no_route";
    case ErrorReason::kInvalidApiKey:
      return "no_key";
    case ErrorReason::kHeadersTooLarge:
      return "head_too_large";
    case ErrorReason::kBodyTooLarge:
      return "body_too_large";
    case ErrorReason::kRateLimited:
      return "over_allowance";
    case ErrorReason::kNoServerAvailable:
      return "no_server";
    case ErrorReason::kOverloaded:
      return "overloaded";
    case ErrorReason::kNotExecuted:
      return "not_run";
    case ErrorReason::kLeaving:
      return "leaving";
    case ErrorReason::kTimedOutNotExecuted:
      return "timed_out_unsent";
    case ErrorReason::kTimedOut:
      return "timed_out";
    case ErrorReason::kServerFailed:
      return "server_failed";
  }
  return "unknown";
}

bool GuaranteesNotExecuted(ErrorReason reason) {
  const int status = StatusCodeOf(reason);
  return status == kTooManyRequests || status == kServiceUnavailable;
}

void SendErrorResponse(ServerExchange& exchange,
                       const ErrorResponse& error_response) {
  HeaderList headers = {{"Content-Type", "application/json"}};
  if (error_response.retry_after) {
    headers.push_back(
        {"Retry-After", FormatSeconds(*error_response.retry_after)});
  }
  const std::string outcome =
      GuaranteesNotExecuted(error_response.reason) ? "not_run" : "unknown";
  exchange.Respond(StatusCodeOf(error_response.reason), std::move(headers),
                   R"({"outcome":")" + outcome + R"(","reason":")" +
                       std::string(ErrorReasonName(error_response.reason)) +
                       "\"}\n");
}

}  // namespace parsleyquay
