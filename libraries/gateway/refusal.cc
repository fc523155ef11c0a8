#include "gateway/refusal.h"

#include <array>
#include <cstdio>

namespace parsleyquay {

namespace {

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

int StatusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoRoute:
      return kNotFound;
    case RefusalReason::kNoKey:
      return kUnauthorized;
    case RefusalReason::kHeadTooLarge:
      return kHeaderFieldsTooLarge;
    case RefusalReason::kBodyTooLarge:
      return kContentTooLarge;
    case RefusalReason::kOverAllowance:
      return kTooManyRequests;
    case RefusalReason::kNotConfigured:
    case RefusalReason::kNoServer:
    case RefusalReason::kNotRun:
    case RefusalReason::kTimedOutUnsent:
      return kServiceUnavailable;
    case RefusalReason::kTimedOut:
      return kGatewayTimeout;
    case RefusalReason::kServerFailed:
      return kBadGateway;
  }
  return kBadGateway;
}

std::string_view RefusalName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNotConfigured:
      return "not_configured";
    case RefusalReason::kNoRoute:
      return "no_route";
    case RefusalReason::kNoKey:
      return "no_key";
    case RefusalReason::kHeadTooLarge:
      return "head_too_large";
    case RefusalReason::kBodyTooLarge:
      return "body_too_large";
    case RefusalReason::kOverAllowance:
      return "over_allowance";
    case RefusalReason::kNoServer:
      return "no_server";
    case RefusalReason::kNotRun:
      return "not_run";
    case RefusalReason::kTimedOutUnsent:
      return "timed_out_unsent";
    case RefusalReason::kTimedOut:
      return "timed_out";
    case RefusalReason::kServerFailed:
      return "server_failed";
  }
  return "unknown";
}

bool PromisesNotRun(RefusalReason reason) {
  const int status = StatusOf(reason);
  return status == kTooManyRequests || status == kServiceUnavailable;
}

void SendRefusal(ServerExchange& exchange, const Refusal& refusal) {
  HeaderList headers = {{"Content-Type", "application/json"}};
  if (refusal.retry_after) {
    headers.push_back({"Retry-After", FormatSeconds(*refusal.retry_after)});
  }
  const std::string outcome =
      PromisesNotRun(refusal.reason) ? "not_run" : "unknown";
  exchange.Respond(StatusOf(refusal.reason), std::move(headers),
                   R"({"outcome":")" + outcome + R"(","reason":")" +
                       std::string(RefusalName(refusal.reason)) + "\"}\n");
}

}  // namespace parsleyquay
