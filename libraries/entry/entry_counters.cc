#include "entry/entry_counters.h"

#include <sstream>

namespace parsleyquay {

std::vector<NamedCounter> ListCounters(const EntryCounters& counters) {
  return {{"requests", counters.requests},
          {"answered", counters.answered},
          {"refused_over_limit", counters.refused_over_limit},
          {"refused_no_key", counters.refused_no_key},
          {"refused_not_current", counters.refused_not_current},
          {"refused_withdrawn", counters.refused_withdrawn},
          {"refused_capacity", counters.refused_capacity},
          {"answered_unknown", counters.answered_unknown},
          {"answered_failed", counters.answered_failed},
          {"retries", counters.retries},
          {"resumes", counters.resumes},
          {"wrong_answers", counters.wrong_answers},
          {"cut_answers", counters.cut_answers},
          {"caller_hangups", counters.caller_hangups},
          {"replayed_answers", counters.replayed_answers},
          {"borrows", counters.borrows},
          {"borrow_timeouts", counters.borrow_timeouts},
          {"tokens_granted", counters.tokens_granted},
          {"tokens_spent", counters.tokens_spent},
          {"verdict_changes", counters.verdict_changes},
          {"ejections", counters.ejections},
          {"log_reads", counters.log_reads},
          {"log_appends", counters.log_appends},
          {"peer_pulls", counters.peer_pulls}};
}

std::string RenderPrometheusCounters(
    const std::vector<NamedCounter>& counters) {
  std::ostringstream text;
  for (const NamedCounter& counter : counters) {
    text << "# TYPE parsleyquay_" << counter.name << "_total counter\n"
         << "parsleyquay_" << counter.name << "_total " << counter.value
         << '\n';
  }
  return text.str();
}

}  // namespace parsleyquay
