#include "dissemination/outcome_summary.h"

#include <algorithm>

namespace parsleyquay {

void AddOutcome(OutcomeSummary& summary,
                const OutcomeReport& report,
                TimePoint now) {
  ServerSummary& server = summary.servers[report.server];
  ++server.counts[report.outcome];
  if (report.load >= 0) {
    server.load = report.load;
  }
  server.newest_at = now;
  if (report.observation) {
    AddObservation(summary.version_outcomes, report.server,
                   *report.observation);
  }
}

void MergeSummary(OutcomeSummary& summary, const OutcomeSummary& other) {
  for (const auto& [service, count] : other.failed_requests_by_service) {
    summary.failed_requests_by_service[service] += count;
  }
  MergeOutcomes(summary.version_outcomes, other.version_outcomes);
  for (const auto& [name, added] : other.servers) {
    ServerSummary& server = summary.servers[name];
    for (const auto& [outcome, count] : added.counts) {
      server.counts[outcome] += count;
    }
    if (added.load >= 0 && added.newest_at >= server.newest_at) {
      server.load = added.load;
    }
    server.newest_at = std::max(server.newest_at, added.newest_at);
  }
}

std::uint64_t CountOutcomes(const OutcomeSummary& summary) {
  std::uint64_t total = 0;
  for (const auto& [name, server] : summary.servers) {
    for (const auto& [outcome, count] : server.counts) {
      total += static_cast<std::uint64_t>(count);
    }
  }
  return total;
}

bool IsUrgent(ServerOutcome outcome) {
  return outcome != ServerOutcome::kServed && outcome != ServerOutcome::kShed;
}

bool HasUrgent(const OutcomeSummary& summary) {
  return std::ranges::any_of(summary.servers, [](const auto& item) {
    return std::ranges::any_of(item.second.counts, [](const auto& count) {
      return IsUrgent(count.first);
    });
  });
}

}  // namespace parsleyquay
