#include "soak/promise_ledger.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace parsleyquay {

namespace {

// Returns whether the status states that the request has not run and will not.
bool StatesNotExecuted(int status) {
  static const std::set<int> statuses = {408, 421, 429, 503};
  return statuses.contains(status);
}

}  // namespace

void NoteSent(PromiseLedger& ledger,
              const std::string& id,
              bool is_idempotent,
              bool is_metered) {
  ledger.requests[id] = {.is_idempotent = is_idempotent,
                         .is_metered = is_metered};
}

void NoteRun(PromiseLedger& ledger, const std::string& id, TimePoint now) {
  RequestRecord& request = ledger.requests[id];
  if (++request.runs == 1) {
    request.first_run_at = now;
  }
  if (!request.is_idempotent && request.runs > 1) {
    ledger.breaches.push_back(id + " ran " + std::to_string(request.runs) +
                              " times");
  }
  if (request.refused_with != 0) {
    ledger.breaches.push_back(id + " ran after status " +
                              std::to_string(request.refused_with));
  }
}

void NoteEnd(PromiseLedger& ledger,
             const std::string& id,
             const CallerEnd& end,
             TimePoint now) {
  RequestRecord& request = ledger.requests[id];
  request.ended_at = now;
  ++ledger.answers[end.status];
  if (end.status == 0 && !end.is_excused) {
    ledger.breaches.push_back(id +
                              " received no complete response: " + end.detail);
  }
  if (end.is_late && !end.is_excused) {
    ledger.breaches.push_back(id + " ended long after its deadline");
  }
  if (end.status == 200 && !end.is_right_body) {
    ledger.breaches.push_back(id + " received a response that no server sent");
  }
  if (end.status == 200 && request.runs == 0) {
    ledger.breaches.push_back(id + " received status 200 and never ran");
  }
  if (StatesNotExecuted(end.status)) {
    request.refused_with = end.status;
    if (request.runs > 0) {
      ledger.breaches.push_back(id + " ran and received status " +
                                std::to_string(end.status));
    }
  }
}

void CheckRate(PromiseLedger& ledger, const MeteredRate& rate) {
  std::vector<std::pair<TimePoint, std::string>> runs;
  for (const auto& [id, request] : ledger.requests) {
    if (request.is_metered && request.runs > 0) {
      runs.emplace_back(request.first_run_at, id);
    }
  }
  std::ranges::sort(runs);
  const double max_runs =
      (rate.rate * ToSeconds(rate.window) + rate.burst) * (1 + rate.overshoot) +
      rate.slack;
  auto oldest = runs.begin();
  for (auto newest = runs.begin(); newest != runs.end(); ++newest) {
    while (newest->first - oldest->first > rate.window) {
      ++oldest;
    }
    const auto within = std::distance(oldest, newest) + 1;
    if (static_cast<double>(within) > max_runs) {
      ledger.breaches.push_back(newest->second + " is request number " +
                                std::to_string(within) +
                                " of its workspace in one window");
      return;
    }
  }
}

}  // namespace parsleyquay
