#ifndef PARSLEYQUAY_RETRY_ATTEMPT_OUTCOME_H_
#define PARSLEYQUAY_RETRY_ATTEMPT_OUTCOME_H_

#include "base/clock.h"

namespace parsleyquay {

// How one attempt at a backend server ended.
enum class AttemptResult {
  kResponseReceived,    // a whole answer that belongs to the request
  kServerError,         // an answer with a 5xx status
  kShed,                // the server states that it did not run the request
  kNeverSent,           // no byte of the request left
  kBroken,              // the connection failed after bytes may have left
  kMismatchedResponse,  // an answer to some other request
  kStalled,             // no progress for too long
};

// What is known of a request before its next step.
struct AttemptContext {
  bool is_idempotent = false;
  bool has_response_started = false;  // bytes of an answer reached the caller
  bool can_resume = false;            // the answer can go on from a byte offset
  bool can_replay_body = false;       // the body is still held
  long attempts = 0;                  // made so far
  Duration time_left = Duration(0);

  bool operator==(const AttemptContext&) const = default;
};

enum class NextStep {
  kForwardResponse,       // hand the answer to the caller
  kRetry,                 // try another server
  kResumeResponse,        // fetch the rest of the answer from another server
  kRejectNotExecuted,     // say truthfully that nothing ran
  kReportUnknownOutcome,  // it may or may not have run
  kReportFailure,         // it is idempotent and did not succeed
  kAbortResponse,         // break the connection: the answer is incomplete
};

// Decides what follows an attempt. A non-idempotent request is sent again only
// when nothing of it can have run.
NextStep ChooseNextStep(AttemptResult result, const AttemptContext& context);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RETRY_ATTEMPT_OUTCOME_H_
