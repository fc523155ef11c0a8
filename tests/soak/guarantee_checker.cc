#include "soak/guarantee_checker.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace parsleyquay {

namespace {

// These say that the request has not run and will not.
bool PromisesNotRun(int status) {
  static const std::set<int> statuses = {408, 421, 429, 503};
  return statuses.contains(status);
}

}  // namespace

void RecordSent(GuaranteeChecker& checker,
                const std::string& id,
                bool is_idempotent,
                bool is_rate_limited) {
  checker.requests[id] = {.is_idempotent = is_idempotent,
                          .is_rate_limited = is_rate_limited};
}

void RecordRun(GuaranteeChecker& checker,
               const std::string& id,
               TimePoint now) {
  RequestRecord& request = checker.requests[id];
  if (++request.runs == 1) {
    request.first_run_at = now;
  }
  if (!request.is_idempotent && request.runs > 1) {
    checker.violations.push_back(id + " ran " + std::to_string(request.runs) +
                                 " times");
  }
  if (request.refusal_status != 0) {
    checker.violations.push_back(id + " ran after " +
                                 std::to_string(request.refusal_status));
  }
}

void RecordCallerOutcome(GuaranteeChecker& checker,
                         const std::string& id,
                         const CallerOutcome& outcome,
                         TimePoint now) {
  RequestRecord& request = checker.requests[id];
  request.ended_at = now;
  ++checker.answers[outcome.status];
  if (outcome.status == 0 && !outcome.may_lack_response) {
    checker.violations.push_back(id +
                                 " got no whole answer: " + outcome.detail);
  }
  if (outcome.is_late && !outcome.may_lack_response) {
    checker.violations.push_back(id + " ended long after its deadline");
  }
  if (outcome.status == 200 && !outcome.has_expected_body) {
    checker.violations.push_back(id + " got an answer that no server gave");
  }
  if (outcome.status == 200 && request.runs == 0) {
    checker.violations.push_back(id + " got a 200 and never ran");
  }
  if (PromisesNotRun(outcome.status)) {
    request.refusal_status = outcome.status;
    if (request.runs > 0) {
      checker.violations.push_back(id + " ran and got " +
                                   std::to_string(outcome.status));
    }
  }
}

void CheckRate(GuaranteeChecker& checker, const RateLimitBound& rate) {
  std::vector<std::pair<TimePoint, std::string>> runs;
  for (const auto& [id, request] : checker.requests) {
    if (request.is_rate_limited && request.runs > 0) {
      runs.emplace_back(request.first_run_at, id);
    }
  }
  std::ranges::sort(runs);
  const double most =
      (rate.rate * ToSeconds(rate.window) + rate.burst) * (1 + rate.overshoot) +
      rate.slack;
  auto oldest = runs.begin();
  for (auto newest = runs.begin(); newest != runs.end(); ++newest) {
    while (newest->first - oldest->first > rate.window) {
      ++oldest;
    }
    const auto within = std::distance(oldest, newest) + 1;
    if (static_cast<double>(within) > most) {
      checker.violations.push_back(newest->second + " is number " +
                                   std::to_string(within) +
                                   " of its workspace in one window");
      return;
    }
  }
}

}  // namespace parsleyquay
