#ifndef PARSLEYQUAY_ENTRY_OUTCOME_BODY_H_
#define PARSLEYQUAY_ENTRY_OUTCOME_BODY_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// Outcome of a request for which the caller gets no response of a backend
// server.
enum class RequestOutcome {
  kNotRun,   // was not executed and will not be
  kUnknown,  // may or may not have been executed
  kFailed,   // is idempotent and did not succeed
};

// The response that the instance itself makes to such a request. All of them
// have a JSON body with the same fields.
struct OutcomeBody {
  int status = 503;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  std::string reason;  // one identifier, such as "over_limit"
  bool may_repeat = false;
  std::optional<Duration> retry_after;
  std::string request_id;
  std::string ask_path;  // target at which the outcome can be looked up
  std::vector<std::string> addresses;  // other instances to retry at

  bool operator==(const OutcomeBody&) const = default;
};

// Returns the JSON body. The status is not part of it.
std::string RenderOutcome(const OutcomeBody& body);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_OUTCOME_BODY_H_
