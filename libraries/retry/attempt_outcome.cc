#include "retry/attempt_outcome.h"

namespace parsleyquay {

namespace {

constexpr long kMaxAttempts = 4;

bool IsNotExecuted(AttemptResult result) {
  return result == AttemptResult::kShed || result == AttemptResult::kNeverSent;
}

bool MayRetry(const AttemptContext& context) {
  return context.attempts < kMaxAttempts && context.can_replay_body &&
         context.time_left > Duration(0);
}

NextStep NextStepAfterPartialResponse(const AttemptContext& context) {
  const bool may_resume =
      context.is_idempotent && context.can_resume && MayRetry(context);
  return may_resume ? NextStep::kResumeResponse : NextStep::kAbortResponse;
}

}  // namespace

NextStep ChooseNextStep(AttemptResult result, const AttemptContext& context) {
  if (result == AttemptResult::kResponseReceived) {
    return NextStep::kForwardResponse;
  }
  if (context.has_response_started) {
    return NextStepAfterPartialResponse(context);
  }
  if (IsNotExecuted(result)) {
    return MayRetry(context) ? NextStep::kRetry : NextStep::kRejectNotExecuted;
  }
  if (context.is_idempotent) {
    if (MayRetry(context)) {
      return NextStep::kRetry;
    }
    return result == AttemptResult::kServerError ? NextStep::kForwardResponse
                                                 : NextStep::kReportFailure;
  }
  // A 5xx response shows that the server has handled the request, so it is
  // forwarded. After any other result it is unknown whether the request was
  // executed.
  return result == AttemptResult::kServerError
             ? NextStep::kForwardResponse
             : NextStep::kReportUnknownOutcome;
}

}  // namespace parsleyquay
