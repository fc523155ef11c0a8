#ifndef PARSLEYQUAY_GATEWAY_REFUSAL_H_
#define PARSLEYQUAY_GATEWAY_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/server_exchange.h"

namespace parsleyquay {

// Why the instance itself responds to a request with an error.
enum class RefusalReason {
  kNotConfigured,  // no configuration has been read yet
  kNoRoute,
  kNoKey,  // the API key is missing or unknown
  kHeadTooLarge,
  kBodyTooLarge,
  kOverAllowance,   // the workspace has exceeded its rate limit
  kNoServer,        // no server is available, or likely to respond in time
  kNotRun,          // no server executed it, and no other one may be tried
  kTimedOutUnsent,  // the deadline passed before it was sent to a server
  kTimedOut,        // the deadline passed after it was sent to a server
  kServerFailed,    // no valid and complete response was received
};

struct Refusal {
  RefusalReason reason = RefusalReason::kNoServer;
  // Delay for the Retry-After header; unset if a retry would not help.
  std::optional<Duration> retry_after;

  bool operator==(const Refusal&) const = default;
};

// The HTTP status code of the response.
int StatusOf(RefusalReason reason);

// The reason's name in response bodies, the log and metrics.
std::string_view RefusalName(RefusalReason reason);

// Returns whether the response guarantees the client that the request was not
// executed and never will be.
bool PromisesNotRun(RefusalReason reason);

// Sends the response with a JSON body that says whether the request may have
// been executed, and why it failed.
void SendRefusal(ServerExchange& exchange, const Refusal& refusal);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_REFUSAL_H_
