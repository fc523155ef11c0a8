#include "retry/attempt_outcome.h"

namespace parsleyquay {

namespace {

constexpr long kMaxAttempts = 4;

bool IsNotExecuted(AttemptEnd end) {
  return end == AttemptEnd::kShed || end == AttemptEnd::kNeverSent;
}

bool MayRetry(const AttemptContext& context) {
  return context.attempts < kMaxAttempts && context.can_replay_body &&
         context.time_left > Duration(0);
}

NextStep NextStepAfterPartialResponse(const AttemptContext& context) {
  const bool may_resume =
      context.is_idempotent && context.can_resume && MayRetry(context);
  return may_resume ? NextStep::kResume : NextStep::kCutAnswer;
}

}  // namespace

NextStep ChooseNextStep(AttemptEnd end, const AttemptContext& context) {
  if (end == AttemptEnd::kAnswered) {
    return NextStep::kDeliver;
  }
  if (context.has_begun_answer) {
    return NextStepAfterPartialResponse(context);
  }
  if (IsNotExecuted(end)) {
    return MayRetry(context) ? NextStep::kRetry : NextStep::kRefuseNotRun;
  }
  if (context.is_idempotent) {
    if (MayRetry(context)) {
      return NextStep::kRetry;
    }
    return end == AttemptEnd::kServerError ? NextStep::kDeliver
                                           : NextStep::kAnswerFailed;
  }
  // The server has executed the request, so the caller receives its response
  // even if it is an error.
  return end == AttemptEnd::kServerError ? NextStep::kDeliver
                                         : NextStep::kAnswerUnknown;
}

}  // namespace parsleyquay
