#ifndef PARSLEYQUAY_DISSEMINATION_OUTCOME_SUMMARY_H_
#define PARSLEYQUAY_DISSEMINATION_OUTCOME_SUMMARY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "dissemination/rollout_news.h"
#include "server_health/server_health_estimate.h"

namespace parsleyquay {

// The outcome of one request at a backend server.
struct OutcomeReport {
  std::string server;
  ServerOutcome outcome = ServerOutcome::kServed;
  // Requests running or queued at the server, as it reported; -1: not reported.
  long load = -1;
  // Set if the service of the server has a rollout.
  std::optional<VersionObservation> observation;

  bool operator==(const OutcomeReport&) const = default;
};

// The outcomes of several requests at one server since the last digest.
struct ServerSummary {
  std::map<ServerOutcome, long> counts;  // number of requests by outcome
  long load = -1;                        // the newest reported load, or -1
  TimePoint newest_at;                   // when the newest outcome was observed

  bool operator==(const ServerSummary&) const = default;
};

// The outcomes of many requests at all servers.
struct OutcomeSummary {
  std::map<std::string, ServerSummary> servers;  // by name
  // Number of requests that ended without success, for any reason.
  std::map<std::string, long> failed_requests_by_service;
  VersionOutcomes version_outcomes;  // of services with a rollout

  bool is_empty() const {
    return this->servers.empty() && this->failed_requests_by_service.empty() &&
           this->version_outcomes.empty();
  }
  bool operator==(const OutcomeSummary&) const = default;
};

void AddOutcome(OutcomeSummary& summary,
                const OutcomeReport& report,
                TimePoint now);

// Adds the outcomes of `other` to `summary`.
void MergeSummary(OutcomeSummary& summary, const OutcomeSummary& other);

// Returns the number of outcomes in the summary.
std::uint64_t CountOutcomes(const OutcomeSummary& summary);

// Returns whether the outcome is a failure that may change where other
// instances send their requests. Such an outcome is forwarded at once.
bool IsUrgent(ServerOutcome outcome);

// Returns whether the summary contains an urgent outcome.
bool HasUrgent(const OutcomeSummary& summary);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_OUTCOME_SUMMARY_H_
