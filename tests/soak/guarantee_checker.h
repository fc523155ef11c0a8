#ifndef PARSLEYQUAY_TESTS_SOAK_GUARANTEE_CHECKER_H_
#define PARSLEYQUAY_TESTS_SOAK_GUARANTEE_CHECKER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// How a request ended for the caller.
struct CallerOutcome {
  int status = 0;  // 0: no complete response
  bool has_expected_body =
      true;  // a response with status 200 has the server's body
  // Whether the request may end without a response, or late, because the
  // instance was killed or frozen meanwhile.
  bool was_instance_unavailable = false;
  bool is_late = false;  // ended long after its deadline
  std::string detail;    // why there is no complete response

  bool operator==(const CallerOutcome&) const = default;
};

// What callers and backend servers have observed of one request.
struct RequestRecord {
  bool is_idempotent = true;
  bool is_rate_limited = false;  // belongs to the workspace with a rate limit
  int runs = 0;                  // how often a server began to run it
  // Status of the response which states that the request was not executed; 0 if
  // there was none.
  int refusal_status = 0;
  TimePoint first_run_at;
  TimePoint ended_at;

  bool operator==(const RequestRecord&) const = default;
};

// The most requests of a workspace that the fleet may admit: in any `window`,
// `(rate * window + burst) * (1 + overshoot) + slack`.
struct RateLimitBound {
  double rate = 0;  // requests per second
  double burst = 0;
  double overshoot = 0;
  double slack = 0;
  Duration window = seconds(5);
};

// Records what callers and servers observe, and each violation of a guarantee.
struct GuaranteeChecker {
  std::map<std::string, RequestRecord> requests;  // by id
  // Descriptions of the violations. Each begins with the id of the request, or
  // names the instance.
  std::vector<std::string> violations;
  std::map<int, int> outcomes_by_status;  // number of ended requests by status;
                                          // 0: no complete response

  bool operator==(const GuaranteeChecker&) const = default;
};

void RecordSent(GuaranteeChecker& checker,
                const std::string& id,
                bool is_idempotent,
                bool is_rate_limited);

// Called when a server begins to run the request.
void RecordRun(GuaranteeChecker& checker, const std::string& id, TimePoint now);

// Called when the request has ended for the caller.
void RecordCallerOutcome(GuaranteeChecker& checker,
                         const std::string& id,
                         const CallerOutcome& outcome,
                         TimePoint now);

// Records a violation if more requests of the rate-limited workspace ran in any
// window than the limit allows.
void CheckRateLimit(GuaranteeChecker& checker, const RateLimitBound& rate);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SOAK_GUARANTEE_CHECKER_H_
