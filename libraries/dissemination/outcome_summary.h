#ifndef PARSLEYQUAY_DISSEMINATION_OUTCOME_SUMMARY_H_
#define PARSLEYQUAY_DISSEMINATION_OUTCOME_SUMMARY_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "server_health/server_health_estimate.h"

namespace parsleyquay {

// What one request showed of a server.
struct OutcomeReport {
  std::string server;
  ServerOutcome outcome = ServerOutcome::kServed;
  long load = -1;  // requests that the server said it holds; -1: it did not

  bool operator==(const OutcomeReport&) const = default;
};

// What several requests showed of one server since the last digest.
struct ServerSummary {
  std::map<ServerOutcome, long> counts;
  long load = -1;
  TimePoint newest_at;

  bool operator==(const ServerSummary&) const = default;
};

// What many requests showed, of all servers.
struct OutcomeSummary {
  std::map<std::string, ServerSummary> servers;
  // Requests that ended without a success, for whatever reason.
  std::map<std::string, long> failed_requests_by_service;

  bool is_empty() const {
    return this->servers.empty() && this->failed_requests_by_service.empty();
  }
  bool operator==(const OutcomeSummary&) const = default;
};

void AddOutcome(OutcomeSummary& summary,
                const OutcomeReport& report,
                TimePoint now);

void MergeSummary(OutcomeSummary& summary, const OutcomeSummary& other);

// How many requests the summary speaks of.
std::uint64_t CountOutcomes(const OutcomeSummary& summary);

// Whether the outcome may change where others send their requests, so that it
// is passed on at once.
bool IsUrgent(ServerOutcome outcome);

bool HasUrgent(const OutcomeSummary& summary);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_OUTCOME_SUMMARY_H_
