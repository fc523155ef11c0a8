#include "belief/server_belief.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

namespace {

// The estimate never becomes certain, so that later outcomes can change it.
constexpr double kMinProbability = 0.01;
constexpr double kMaxProbability = 0.98;

// Likelihood ratios (degraded to healthy) of outcomes that the failure rates of
// the model do not cover. They are weaker evidence than an error response: a
// broken exchange may be caused by the network path, and an overdue request may
// simply take long.
constexpr double kBrokenRatio = 20;
constexpr double kOverdueRatio = 6;
constexpr double kUnreachableRatio = 4;

// Returns how many times more probable the outcome is in the degraded state
// than in the healthy state.
double LikelihoodRatio(const SpellModel& model, Outcome outcome) {
  switch (outcome) {
    case Outcome::kServed:
      return (1 - model.spell_failure_share) / (1 - model.usual_failure_share);
    case Outcome::kFailed:
      return model.spell_failure_share / model.usual_failure_share;
    case Outcome::kBroken:
      return kBrokenRatio;
    case Outcome::kOverdue:
      return kOverdueRatio;
    case Outcome::kUnreachable:
      return kUnreachableRatio;
    case Outcome::kShed:
      return 1;
  }
  return 1;
}

}  // namespace

ServerBelief MakeServerBelief(const SpellModel& model, TimePoint now) {
  return {model.spell_share, now};
}

ServerBelief Fade(ServerBelief belief, const SpellModel& model, TimePoint now) {
  if (now <= belief.updated_at) {
    return belief;
  }
  // Transition rates per second between the healthy and the degraded state.
  const double cycle = ToSeconds(model.mean_cycle);
  const double begin_rate = 1 / (cycle * (1 - model.spell_share));
  const double end_rate = 1 / (cycle * model.spell_share);
  const double decay =
      std::exp(-(begin_rate + end_rate) * ToSeconds(now - belief.updated_at));
  belief.spell_probability =
      model.spell_share +
      (belief.spell_probability - model.spell_share) * decay;
  belief.updated_at = now;
  return belief;
}

ServerBelief Learn(ServerBelief belief,
                   const SpellModel& model,
                   Outcome outcome,
                   TimePoint now) {
  belief = Fade(belief, model, now);
  const double weighted =
      belief.spell_probability * LikelihoodRatio(model, outcome);
  const double posterior = weighted / (weighted + 1 - belief.spell_probability);
  belief.spell_probability =
      std::clamp(posterior, kMinProbability, kMaxProbability);
  return belief;
}

ServerBelief LearnRepeated(ServerBelief belief,
                           const SpellModel& model,
                           Outcome outcome,
                           long count,
                           TimePoint now) {
  bool has_changed = true;
  while (count > 0 && has_changed) {
    const ServerBelief before = belief;
    belief = Learn(belief, model, outcome, now);
    has_changed = belief != before;
    --count;
  }
  return belief;
}

double FailureProbability(const ServerBelief& belief, const SpellModel& model) {
  return belief.spell_probability * model.spell_failure_share +
         (1 - belief.spell_probability) * model.usual_failure_share;
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kServed:
      return "served";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kBroken:
      return "broken";
    case Outcome::kOverdue:
      return "overdue";
    case Outcome::kUnreachable:
      return "unreachable";
    case Outcome::kShed:
      return "shed";
  }
  return "unknown";
}

}  // namespace parsleyquay
