#ifndef PARSLEYQUAY_SERVER_HEALTH_SERVER_HEALTH_ESTIMATE_H_
#define PARSLEYQUAY_SERVER_HEALTH_SERVER_HEALTH_ESTIMATE_H_

#include <string_view>

#include "base/clock.h"

namespace parsleyquay {

// The outcome of one request as evidence about the health of the backend server
// that it was sent to.
enum class ServerOutcome {
  kServed,       // a complete response in time
  kFailed,       // the server itself responded with an error
  kBroken,       // no response, an incomplete one, or that of another request
  kOverdue,      // no response yet, long after most requests have one
  kUnreachable,  // no connection could be established
  kShed,         // the server had no capacity; no evidence about its health
};

// Models the failures of a backend server as a two-state hidden Markov model
// (Rabiner, 1989, section III). In the degraded state (`spell` in log lines)
// most requests fail; in the healthy state few do. The defaults describe the
// users' servers.
struct ServerFailureModel {
  double healthy_failure_probability = 0.012;
  double degraded_failure_probability = 0.75;
  double stationary_degraded_probability = 0.3;
  // Mean time from the start of one degraded period to the start of the next. A
  // degraded period lasts `mean_cycle * stationary_degraded_probability`, about
  // nine seconds, as in the logs of the users' normal days.
  Duration mean_cycle = seconds(30);

  bool operator==(const ServerFailureModel&) const = default;
};

// The estimated probability that a server is in the degraded state.
struct ServerHealthEstimate {
  double degraded_probability = 0;
  TimePoint updated_at;  // the time for which the estimate holds

  bool operator==(const ServerHealthEstimate&) const = default;
};

// Returns the estimate for a server without any observed outcome: the long-term
// probability of the degraded state.
ServerHealthEstimate MakeServerHealthEstimate(const ServerFailureModel& model,
                                              TimePoint now);

// Returns the estimate for the time `now` if nothing is observed until then: it
// decays towards the long-term probability of the degraded state. An estimate
// that is as new as `now` or newer is returned unchanged.
ServerHealthEstimate DecayEstimate(ServerHealthEstimate estimate,
                                   const ServerFailureModel& model,
                                   TimePoint now);

// Returns the estimate updated by Bayes' rule with one outcome observed at
// `now`.
ServerHealthEstimate UpdateEstimate(ServerHealthEstimate estimate,
                                    const ServerFailureModel& model,
                                    ServerOutcome outcome,
                                    TimePoint now);

// Returns the estimate updated `count` times with the same outcome. The number
// of steps is bounded for any count: once an update leaves the estimate
// unchanged, the remaining ones are skipped.
ServerHealthEstimate UpdateEstimateRepeatedly(ServerHealthEstimate estimate,
                                              const ServerFailureModel& model,
                                              ServerOutcome outcome,
                                              long count,
                                              TimePoint now);

// Returns the probability that the next request to the server fails.
double FailureProbability(const ServerHealthEstimate& estimate,
                          const ServerFailureModel& model);

// Returns the name of the outcome in log lines.
std::string_view ServerOutcomeName(ServerOutcome outcome);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_SERVER_HEALTH_SERVER_HEALTH_ESTIMATE_H_
