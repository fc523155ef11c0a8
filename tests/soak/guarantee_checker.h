#ifndef PARSLEYQUAY_TESTS_SOAK_GUARANTEE_CHECKER_H_
#define PARSLEYQUAY_TESTS_SOAK_GUARANTEE_CHECKER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// How a caller's request ended, as the caller sees it.
struct CallerOutcome {
  int status = 0;                 // 0: no whole answer
  bool has_expected_body = true;  // of a 200: the one that the server gave
  // The instance was killed, frozen or gone meanwhile: then no answer is owed.
  bool may_lack_response = false;
  bool is_late = false;  // long after its deadline
  std::string detail;    // of no whole answer

  bool operator==(const CallerOutcome&) const = default;
};

// One request, as callers and backend servers see it.
struct RequestRecord {
  bool is_idempotent = true;
  bool is_rate_limited = false;
  int runs = 0;
  int refusal_status = 0;  // a status that promises "not run"
  TimePoint first_run_at;
  TimePoint ended_at;

  bool operator==(const RequestRecord&) const = default;
};

// What the fleet lets through of a metered workspace.
struct RateLimitBound {
  double rate = 0;  // requests a second
  double burst = 0;
  double overshoot = 0;
  double slack = 0;
  Duration window = seconds(5);
};

// Keeps what callers and servers see, and notes each promise that is broken.
struct GuaranteeChecker {
  std::map<std::string, RequestRecord> requests;
  std::vector<std::string> violations;  // each begins with the request's id
  std::map<int, int> answers;           // by status

  bool operator==(const GuaranteeChecker&) const = default;
};

void RecordSent(GuaranteeChecker& checker,
                const std::string& id,
                bool is_idempotent,
                bool is_rate_limited);

// A server has begun to run the request.
void RecordRun(GuaranteeChecker& checker, const std::string& id, TimePoint now);

void RecordCallerOutcome(GuaranteeChecker& checker,
                         const std::string& id,
                         const CallerOutcome& outcome,
                         TimePoint now);

// Looks for a window in which more metered requests ran than the rate allows.
void CheckRate(GuaranteeChecker& checker, const RateLimitBound& rate);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SOAK_GUARANTEE_CHECKER_H_
