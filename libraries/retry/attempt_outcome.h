#ifndef PARSLEYQUAY_RETRY_ATTEMPT_OUTCOME_H_
#define PARSLEYQUAY_RETRY_ATTEMPT_OUTCOME_H_

#include "base/clock.h"

namespace parsleyquay {

// How one attempt to send a request to a backend server ended.
enum class AttemptResult {
  kResponseReceived,    // a complete response to this request
  kServerError,         // a response with a 5xx status
  kShed,                // the server states that it did not execute the request
  kNeverSent,           // no byte of the request was sent
  kBroken,              // the connection failed after bytes may have been sent
  kMismatchedResponse,  // a response that cannot belong to this request
  kStalled,             // no progress for too long
};

// The state of a request after an attempt.
struct AttemptContext {
  bool is_idempotent = false;
  bool has_response_started =
      false;                     // part of a response was sent to the caller
  bool can_resume = false;       // the response can continue from a byte offset
  bool can_replay_body = false;  // the request body can be sent again
  long attempts = 0;  // so far, at most 4; callers may omit the first
  Duration time_left = Duration(0);  // until the deadline

  bool operator==(const AttemptContext&) const = default;
};

enum class NextStep {
  kForwardResponse,       // forward the server's response to the caller
  kRetry,                 // send the request to another server
  kResumeResponse,        // fetch the rest of the response from another server
  kRejectNotExecuted,     // tell the caller that the request was not executed
  kReportUnknownOutcome,  // tell the caller that it may have been executed
  kReportFailure,         // tell the caller that an idempotent request failed
  kAbortResponse,  // abort the connection, since the response is incomplete
};

// Decides how to proceed after an attempt. A request that is not idempotent is
// sent again only if no server can have executed any of it.
NextStep ChooseNextStep(AttemptResult result, const AttemptContext& context);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_ATTEMPT_OUTCOME_H_
