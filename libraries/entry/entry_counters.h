#ifndef PARSLEYQUAY_ENTRY_ENTRY_COUNTERS_H_
#define PARSLEYQUAY_ENTRY_ENTRY_COUNTERS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyquay {

// Counters of one instance, from zero at its start.
struct EntryCounters {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_over_limit = 0;
  std::uint64_t refused_no_key = 0;
  std::uint64_t refused_not_current = 0;
  std::uint64_t refused_withdrawn = 0;
  std::uint64_t refused_capacity = 0;
  std::uint64_t answered_unknown = 0;
  std::uint64_t answered_failed = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumes = 0;
  std::uint64_t wrong_answers = 0;
  std::uint64_t cut_answers = 0;
  std::uint64_t caller_hangups = 0;
  std::uint64_t replayed_answers = 0;
  std::uint64_t borrows = 0;
  std::uint64_t borrow_timeouts = 0;
  std::uint64_t tokens_granted = 0;
  std::uint64_t tokens_spent = 0;
  std::uint64_t verdict_changes = 0;
  std::uint64_t ejections = 0;
  std::uint64_t log_reads = 0;
  std::uint64_t log_appends = 0;
  std::uint64_t peer_pulls = 0;
};

struct NamedCounter {
  std::string name;
  std::uint64_t value = 0;
};

std::vector<NamedCounter> ListCounters(const EntryCounters& counters);

// Renders the counters in the Prometheus text format, version 0.0.4.
std::string RenderPrometheusCounters(const std::vector<NamedCounter>& counters);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_ENTRY_COUNTERS_H_
