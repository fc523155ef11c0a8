#include "server_health/server_health_estimate.h"

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

double LikelihoodRatio(const ServerFailureModel& model, ServerOutcome outcome) {
  switch (outcome) {
    case ServerOutcome::kServed:
      return (1 - model.degraded_failure_probability) /
             (1 - model.healthy_failure_probability);
    case ServerOutcome::kFailed:
      return model.degraded_failure_probability /
             model.healthy_failure_probability;
    case ServerOutcome::kBroken:
      return kBrokenRatio;
    case ServerOutcome::kOverdue:
      return kOverdueRatio;
    case ServerOutcome::kUnreachable:
      return kUnreachableRatio;
    case ServerOutcome::kShed:
      return 1;
  }
  return 1;
}

}  // namespace

ServerHealthEstimate MakeServerHealthEstimate(const ServerFailureModel& model,
                                              TimePoint now) {
  return {model.stationary_degraded_probability, now};
}

ServerHealthEstimate DecayEstimate(ServerHealthEstimate estimate,
                                   const ServerFailureModel& model,
                                   TimePoint now) {
  if (now <= estimate.updated_at) {
    return estimate;
  }
  const double cycle = ToSeconds(model.mean_cycle);
  const double begin_rate =
      1 / (cycle * (1 - model.stationary_degraded_probability));
  const double end_rate = 1 / (cycle * model.stationary_degraded_probability);
  const double kept =
      std::exp(-(begin_rate + end_rate) * ToSeconds(now - estimate.updated_at));
  estimate.degraded_probability =
      model.stationary_degraded_probability +
      (estimate.degraded_probability - model.stationary_degraded_probability) *
          kept;
  estimate.updated_at = now;
  return estimate;
}

ServerHealthEstimate UpdateEstimate(ServerHealthEstimate estimate,
                                    const ServerFailureModel& model,
                                    ServerOutcome outcome,
                                    TimePoint now) {
  estimate = DecayEstimate(estimate, model, now);
  const double degraded_weight =
      estimate.degraded_probability * LikelihoodRatio(model, outcome);
  const double probability =
      degraded_weight / (degraded_weight + 1 - estimate.degraded_probability);
  estimate.degraded_probability =
      std::clamp(probability, kLeastProbability, kMostProbability);
  return estimate;
}

ServerHealthEstimate UpdateEstimateRepeatedly(ServerHealthEstimate estimate,
                                              const ServerFailureModel& model,
                                              ServerOutcome outcome,
                                              long count,
                                              TimePoint now) {
  bool has_changed = true;
  while (count > 0 && has_changed) {
    const ServerHealthEstimate before = estimate;
    estimate = UpdateEstimate(estimate, model, outcome, now);
    has_changed = estimate != before;
    --count;
  }
  return estimate;
}

double FailureProbability(const ServerHealthEstimate& estimate,
                          const ServerFailureModel& model) {
  return estimate.degraded_probability * model.degraded_failure_probability +
         (1 - estimate.degraded_probability) *
             model.healthy_failure_probability;
}

std::string_view ServerOutcomeName(ServerOutcome outcome) {
  switch (outcome) {
    case ServerOutcome::kServed:
      return "served";
    case ServerOutcome::kFailed:
      return "failed";
    case ServerOutcome::kBroken:
      return "broken";
    case ServerOutcome::kOverdue:
      return "overdue";
    case ServerOutcome::kUnreachable:
      return "unreachable";
    case ServerOutcome::kShed:
      return "shed";
  }
  return "unknown";
}

}  // namespace parsleyquay
