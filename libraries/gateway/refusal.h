#ifndef PARSLEYQUAY_GATEWAY_REFUSAL_H_
#define PARSLEYQUAY_GATEWAY_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/server_exchange.h"

namespace parsleyquay {

// Why a caller gets an answer that no backend server made.
enum class RefusalReason {
  kNotConfigured,  // no configuration is known yet
  kNoRoute,
  kNoKey,  // none, or one that nobody holds
  kHeadTooLarge,
  kBodyTooLarge,
  kOverAllowance,
  kNoServer,        // none may be used, or none would be in time
  kNotRun,          // servers refused it unrun, and no other may be tried
  kTimedOutUnsent,  // its time passed before it was sent
  kTimedOut,        // its time passed at a server
  kServerFailed,    // no whole answer came
};

struct Refusal {
  RefusalReason reason = RefusalReason::kNoServer;
  // When the caller may try again; nothing when that would not help.
  std::optional<Duration> retry_after;

  bool operator==(const Refusal&) const = default;
};

int StatusOf(RefusalReason reason);
std::string_view RefusalName(RefusalReason reason);

// Whether the answer promises that the request has not run and never will.
bool PromisesNotRun(RefusalReason reason);

void SendRefusal(ServerExchange& exchange, const Refusal& refusal);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_REFUSAL_H_
