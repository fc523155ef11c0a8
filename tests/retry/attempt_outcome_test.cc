#include "retry/attempt_outcome.h"

#include <array>
#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

constexpr std::array kAllResults = {AttemptResult::kResponseReceived,
                                    AttemptResult::kServerError,
                                    AttemptResult::kShed,
                                    AttemptResult::kNeverSent,
                                    AttemptResult::kBroken,
                                    AttemptResult::kMismatchedResponse,
                                    AttemptResult::kStalled};

// All contexts there are, but for counts and times.
template <typename Check>
void ForEveryContext(Check check) {
  for (int bits = 0; bits < 32; ++bits) {
    AttemptContext context;
    context.is_idempotent = bits & 1;
    context.has_response_started = bits & 2;
    context.can_resume = bits & 4;
    context.can_replay_body = bits & 8;
    context.attempts = 1;
    context.time_left = seconds(bits & 16 ? 1 : 0);
    for (const AttemptResult result : kAllResults) {
      check(result, context, ChooseNextStep(result, context));
    }
  }
}

TEST_CASE("what may have run and may not be repeated is never sent again") {
  ForEveryContext([](AttemptResult result, const AttemptContext& context,
                     NextStep step) {
    const bool may_have_run =
        result != AttemptResult::kShed && result != AttemptResult::kNeverSent;
    const bool is_sent_again =
        step == NextStep::kRetry || step == NextStep::kResumeResponse;
    if (!context.is_idempotent && may_have_run) {
      CHECK_FALSE(is_sent_again);
    }
  });
}

TEST_CASE("not run is said only of what did not run") {
  ForEveryContext(
      [](AttemptResult result, const AttemptContext&, NextStep step) {
        if (step == NextStep::kRejectNotExecuted) {
          CHECK((result == AttemptResult::kShed ||
                 result == AttemptResult::kNeverSent));
        }
      });
}

TEST_CASE("an answer that has begun is resumed, cut or delivered") {
  ForEveryContext(
      [](AttemptResult, const AttemptContext& context, NextStep step) {
        if (context.has_response_started) {
          CHECK((step == NextStep::kResumeResponse ||
                 step == NextStep::kAbortResponse ||
                 step == NextStep::kForwardResponse));
        }
      });
}

}  // namespace
}  // namespace parsleyquay
