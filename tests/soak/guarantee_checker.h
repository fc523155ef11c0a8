#ifndef PARSLEYQUAY_TESTS_SOAK_GUARANTEE_CHECKER_H_
#define PARSLEYQUAY_TESTS_SOAK_GUARANTEE_CHECKER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// A response that a server sent, or began to send.
struct ServerAnswer {
  int status = 0;
  std::string signature;  // differs for each response
  std::string body;
  bool is_whole = true;       // false: the server broke it off
  bool says_leaving = false;  // the server told that it leaves
  std::string server;

  bool operator==(const ServerAnswer&) const = default;
};

// How a request ended for the caller.
struct CallerOutcome {
  int status = 0;           // 0: no complete response
  std::string signature;    // empty: the response has none
  std::string answered_id;  // the request that the response names, if any
  std::string body;
  // Whether the request may end without a response, or late, because the
  // instance was killed or frozen meanwhile.
  bool was_instance_unavailable = false;
  bool is_late = false;  // ended long after its deadline
  std::string detail;    // for the description of a violation

  bool operator==(const CallerOutcome&) const = default;
};

// What callers and backend servers have observed of one request.
struct RequestRecord {
  bool is_idempotent = true;
  bool is_rate_limited = false;  // belongs to the workspace with a rate limit
  int instance = 0;              // to which the caller sent it
  int runs = 0;                  // how often a server began to run it
  // Status of the response which states that the request was not executed; 0 if
  // there was none.
  int refusal_status = 0;
  TimePoint first_run_at;
  TimePoint ended_at;
  std::vector<ServerAnswer> answers;  // of all servers that received it

  bool operator==(const RequestRecord&) const = default;
};

enum class Disturbance {
  kAny,     // takes the instance out of touch
  kFrozen,  // and its process cannot act
  kDown,    // and its process loses what it knew
};

// When an instance was last disturbed.
struct Disturbances {
  TimePoint last_at;
  TimePoint last_stopped_at;  // frozen or down

  bool operator==(const Disturbances&) const = default;
};

// When a server left.
struct Departure {
  // When the store acknowledged it. Unset if the store was not stable.
  std::optional<TimePoint> acknowledged_at;
  // When each instance passed on a response that said so.
  std::map<int, TimePoint> told_at;

  bool operator==(const Departure&) const = default;
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
  std::map<int, Disturbances> instances;
  TimePoint store_disturbed_at;
  std::map<std::string, Departure> departures;  // by server
  // Until when connections to a server were last held up.
  std::map<std::string, TimePoint> held_up_at;
  // Number of requests to servers that were leaving, whose instance was in
  // touch.
  int checked_departures = 0;
  // The longest time after a departure at which one of these arrived.
  Duration latest_arrival = Duration(0);
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
                bool is_rate_limited,
                int instance = 0);

// Called when a server begins to run the request.
void RecordRun(GuaranteeChecker& checker, const std::string& id, TimePoint now);

// Called when a request reaches a server, whether or not that runs it.
// `arrived_at` is the earliest time at which it may have arrived.
void RecordArrival(GuaranteeChecker& checker,
                   const std::string& id,
                   const std::string& server,
                   TimePoint arrived_at);

// Called when a server responds to the request.
void RecordAnswer(GuaranteeChecker& checker,
                  const std::string& id,
                  ServerAnswer answer);

// Called when the store has acknowledged that the server leaves.
void RecordDeparture(GuaranteeChecker& checker,
                     const std::string& server,
                     TimePoint now);

// Called when, and as long as, something keeps an instance out of touch.
void RecordDisturbance(GuaranteeChecker& checker,
                       int instance,
                       Disturbance disturbance,
                       TimePoint now);

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
