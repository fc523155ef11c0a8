#ifndef PARSLEYQUAY_SERVER_HEALTH_SERVER_HEALTH_ESTIMATE_H_
#define PARSLEYQUAY_SERVER_HEALTH_SERVER_HEALTH_ESTIMATE_H_

#include <string_view>

#include "base/clock.h"

namespace parsleyquay {

// What one request showed of the backend server that it was sent to.
enum class ServerOutcome {
  kServed,       // a whole answer in good time
  kFailed,       // the server itself answered with a failure
  kBroken,       // no answer, part of one, or one to another request
  kOverdue,      // no answer yet, long after most have come
  kUnreachable,  // no connection came about
  kShed,         // the server had no room; says nothing of its health
};

// How a server of the fleet is thought to fail: by spells, in which most
// requests fail, between which few do. A two-state hidden Markov model
// (Rabiner, 1989, section III) with the states' shares and lengths below.
struct ServerFailureModel {
  double healthy_failure_probability = 0.012;  // the sites' error share
  double degraded_failure_probability =
      0.75;  // the sites' share within a spell
  double stationary_degraded_probability = 0.3;  // of the time, by the sites
  // From one spell to the next; in the logs of calm days spells last about nine
  // seconds.
  Duration mean_cycle = seconds(30);

  bool operator==(const ServerFailureModel&) const = default;
};

// How probable it is that a server is in a spell.
struct ServerHealthEstimate {
  double degraded_probability = 0;
  TimePoint updated_at;

  bool operator==(const ServerHealthEstimate&) const = default;
};

// What is believed of a server of which nothing has been seen yet.
ServerHealthEstimate MakeServerHealthEstimate(const ServerFailureModel& model,
                                              TimePoint now);

// The belief at a later time: it fades to what is usual.
ServerHealthEstimate DecayEstimate(ServerHealthEstimate estimate,
                                   const ServerFailureModel& model,
                                   TimePoint now);

// Takes in one outcome seen at `now`, by Bayes' rule.
ServerHealthEstimate UpdateEstimate(ServerHealthEstimate estimate,
                                    const ServerFailureModel& model,
                                    ServerOutcome outcome,
                                    TimePoint now);

// Takes in the same outcome `count` times, in a time that does not grow with
// the count: more of them change nothing once the estimate is at its bound.
ServerHealthEstimate UpdateEstimateRepeatedly(ServerHealthEstimate estimate,
                                              const ServerFailureModel& model,
                                              ServerOutcome outcome,
                                              long count,
                                              TimePoint now);

// The probability that the next request to the server fails.
double FailureProbability(const ServerHealthEstimate& estimate,
                          const ServerFailureModel& model);

std::string_view ServerOutcomeName(ServerOutcome outcome);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_SERVER_HEALTH_SERVER_HEALTH_ESTIMATE_H_
