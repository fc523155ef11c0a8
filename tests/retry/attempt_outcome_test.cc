#include "retry/attempt_outcome.h"

#include <array>
#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

constexpr std::array kAllEnds = {
    AttemptEnd::kAnswered,  AttemptEnd::kServerError, AttemptEnd::kShed,
    AttemptEnd::kNeverSent, AttemptEnd::kBroken,      AttemptEnd::kWrongAnswer,
    AttemptEnd::kStalled};

// Calls `check` for every result of an attempt in every combination of the
// flags of a context, with time left and without.
template <typename Check>
void ForEveryContext(Check check) {
  for (int bits = 0; bits < 32; ++bits) {
    AttemptContext context;
    context.is_idempotent = bits & 1;
    context.has_begun_answer = bits & 2;
    context.can_resume = bits & 4;
    context.can_replay_body = bits & 8;
    context.attempts = 1;
    context.time_left = seconds(bits & 16 ? 1 : 0);
    for (const AttemptEnd end : kAllEnds) {
      check(end, context, ChooseNextStep(end, context));
    }
  }
}

TEST_CASE("a request that may have run and is not idempotent is not resent") {
  ForEveryContext(
      [](AttemptEnd end, const AttemptContext& context, NextStep step) {
        const bool may_have_run =
            end != AttemptEnd::kShed && end != AttemptEnd::kNeverSent;
        const bool is_sent_again =
            step == NextStep::kRetry || step == NextStep::kResume;
        if (!context.is_idempotent && may_have_run) {
          CHECK_FALSE(is_sent_again);
        }
      });
}

TEST_CASE("only a request that did not run is reported as not executed") {
  ForEveryContext([](AttemptEnd end, const AttemptContext&, NextStep step) {
    if (step == NextStep::kRefuseNotRun) {
      CHECK((end == AttemptEnd::kShed || end == AttemptEnd::kNeverSent));
    }
  });
}

TEST_CASE("a response that has started is resumed, aborted or completed") {
  ForEveryContext([](AttemptEnd, const AttemptContext& context, NextStep step) {
    if (context.has_begun_answer) {
      CHECK((step == NextStep::kResume || step == NextStep::kCutAnswer ||
             step == NextStep::kDeliver));
    }
  });
}

}  // namespace
}  // namespace parsleyquay
