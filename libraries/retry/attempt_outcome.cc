#include "retry/attempt_outcome.h"

namespace parsleyquay {

namespace {

constexpr long kMostAttempts = 4;

bool IsNotRun(AttemptResult result) {
  return result == AttemptResult::kShed || result == AttemptResult::kNeverSent;
}

bool MayTryAgain(const AttemptContext& context) {
  return context.attempts < kMostAttempts && context.can_replay_body &&
         context.time_left > Duration(0);
}

NextStep AfterStartedResponse(const AttemptContext& context) {
  const bool may_resume =
      context.is_idempotent && context.can_resume && MayTryAgain(context);
  return may_resume ? NextStep::kResumeResponse : NextStep::kAbortResponse;
}

}  // namespace

NextStep ChooseNextStep(AttemptResult result, const AttemptContext& context) {
  if (result == AttemptResult::kResponseReceived) {
    return NextStep::kForwardResponse;
  }
  if (context.has_response_started) {
    return AfterStartedResponse(context);
  }
  if (IsNotRun(result)) {
    return MayTryAgain(context) ? NextStep::kRetry
                                : NextStep::kRejectNotExecuted;
  }
  if (context.is_idempotent) {
    if (MayTryAgain(context)) {
      return NextStep::kRetry;
    }
    return result == AttemptResult::kServerError ? NextStep::kForwardResponse
                                                 : NextStep::kReportFailure;
  }
  // The server's own answer is the outcome, whatever its status says.
  return result == AttemptResult::kServerError
             ? NextStep::kForwardResponse
             : NextStep::kReportUnknownOutcome;
}

}  // namespace parsleyquay
