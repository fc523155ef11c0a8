#include "belief/server_belief.h"

#include <algorithm>
#include <cmath>

namespace parsleyquay {

namespace {

// Never certain, so that later outcomes still count.
constexpr double kLeastProbability = 0.01;
constexpr double kMostProbability = 0.98;

// How much more probable an outcome is within a spell than outside it, where
// the model's shares do not say. A broken exchange may be the fault of the
// path; an overdue one may only be long.
constexpr double kBrokenRatio = 20;
constexpr double kOverdueRatio = 6;
constexpr double kUnreachableRatio = 4;

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
  const double cycle = ToSeconds(model.mean_cycle);
  const double begin_rate = 1 / (cycle * (1 - model.spell_share));
  const double end_rate = 1 / (cycle * model.spell_share);
  const double kept =
      std::exp(-(begin_rate + end_rate) * ToSeconds(now - belief.updated_at));
  belief.spell_probability =
      model.spell_share + (belief.spell_probability - model.spell_share) * kept;
  belief.updated_at = now;
  return belief;
}

ServerBelief Learn(ServerBelief belief,
                   const SpellModel& model,
                   Outcome outcome,
                   TimePoint now) {
  belief = Fade(belief, model, now);
  const double in_spell =
      belief.spell_probability * LikelihoodRatio(model, outcome);
  const double probability =
      in_spell / (in_spell + 1 - belief.spell_probability);
  belief.spell_probability =
      std::clamp(probability, kLeastProbability, kMostProbability);
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
