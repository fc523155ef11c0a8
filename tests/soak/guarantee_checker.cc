#include "soak/guarantee_checker.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace parsleyquay {

namespace {

// A server's departure must have reached an instance in touch after this time.
constexpr Duration kDepartureBound = seconds(2);
// An instance, or the store, is in touch or stable again when its last
// disturbance is this long over.
constexpr Duration kStableWindow = seconds(3);
// A response that a server breaks off beyond this may have begun for the
// caller.
constexpr std::size_t kMaxBufferedBytes = 64 * 1024;

bool IsSuccess(int status) {
  return status / 100 == 2;
}

// Returns how a complete response differs from what a server sent for the
// request, or an empty string.
std::string FindMixUp(const std::string& id,
                      const RequestRecord& request,
                      const CallerOutcome& outcome) {
  const std::string status = std::to_string(outcome.status);
  if (!outcome.answered_id.empty() && outcome.answered_id != id) {
    return "received the response to " + outcome.answered_id;
  }
  if (outcome.signature.empty()) {
    return IsSuccess(outcome.status)
               ? "received status " + status + " without a signature"
               : "";
  }
  const auto answer = std::ranges::find(request.answers, outcome.signature,
                                        &ServerAnswer::signature);
  if (answer == request.answers.end()) {
    return "received signature " + outcome.signature +
           " that no server sent for it";
  }
  const std::string origin = " from " + answer->server;
  if (answer->status != outcome.status) {
    return "received status " + status + " in place of " +
           std::to_string(answer->status) + origin;
  }
  if (!answer->is_whole) {
    return "received a response as complete that was broken off" + origin;
  }
  if (answer->body != outcome.body) {
    return "received " + std::to_string(outcome.body.size()) +
           " bytes in place of " + std::to_string(answer->body.size()) + origin;
  }
  return "";
}

// Returns whether the status states that the request has not run and will not.
bool StatesNotExecuted(int status) {
  static const std::set<int> statuses = {408, 421, 429, 503};
  return statuses.contains(status);
}

}  // namespace

void RecordSent(GuaranteeChecker& checker,
                const std::string& id,
                bool is_idempotent,
                bool is_rate_limited,
                int instance) {
  checker.requests[id] = {.is_idempotent = is_idempotent,
                          .is_rate_limited = is_rate_limited,
                          .instance = instance};
}

void RecordArrival(GuaranteeChecker& checker,
                   const std::string& id,
                   const std::string& server,
                   TimePoint arrived_at) {
  const auto departure = checker.departures.find(server);
  const auto is_calm = [&](TimePoint last) {
    return arrived_at - last >= kStableWindow;
  };
  if (departure == checker.departures.end() ||
      !is_calm(checker.held_up_at[server])) {
    return;
  }
  const int instance = checker.requests[id].instance;
  const Disturbances& disturbances = checker.instances[instance];
  const auto check = [&](TimePoint left_at, const std::string& how) {
    ++checker.checked_departures;
    const Duration late = arrived_at - left_at;
    checker.latest_arrival = std::max(checker.latest_arrival, late);
    if (late > kDepartureBound) {
      checker.violations.push_back(id + " reached " + server + " " +
                                   std::to_string(ToMilliseconds(late)) +
                                   " ms after " + how + ", from instance " +
                                   std::to_string(instance));
    }
  };
  const auto told_at = departure->second.told_at.find(instance);
  if (told_at != departure->second.told_at.end() &&
      is_calm(disturbances.last_stopped_at)) {
    check(told_at->second, "it had told this instance that it leaves");
  } else if (departure->second.acknowledged_at &&
             is_calm(disturbances.last_at) &&
             is_calm(checker.store_disturbed_at)) {
    check(*departure->second.acknowledged_at,
          "the store acknowledged its leaving");
  }
}

void RecordAnswer(GuaranteeChecker& checker,
                  const std::string& id,
                  ServerAnswer answer) {
  checker.requests[id].answers.push_back(std::move(answer));
}

void RecordDeparture(GuaranteeChecker& checker,
                     const std::string& server,
                     TimePoint now) {
  Departure& departure = checker.departures[server];
  if (!departure.acknowledged_at &&
      now - checker.store_disturbed_at >= kStableWindow) {
    departure.acknowledged_at = now;
  }
}

void RecordDisturbance(GuaranteeChecker& checker,
                       int instance,
                       Disturbance disturbance,
                       TimePoint now) {
  Disturbances& disturbances = checker.instances[instance];
  disturbances.last_at = now;
  if (disturbance != Disturbance::kAny) {
    disturbances.last_stopped_at = now;
  }
  if (disturbance == Disturbance::kDown) {
    for (auto& [server, departure] : checker.departures) {
      departure.told_at.erase(instance);
    }
  }
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
    checker.violations.push_back(id + " ran after status " +
                                 std::to_string(request.refusal_status));
  }
}

void RecordCallerOutcome(GuaranteeChecker& checker,
                         const std::string& id,
                         const CallerOutcome& outcome,
                         TimePoint now) {
  RequestRecord& request = checker.requests[id];
  request.ended_at = now;
  ++checker.outcomes_by_status[outcome.status];
  const bool was_broken_off =
      std::ranges::any_of(request.answers, [](const ServerAnswer& answer) {
        return !answer.is_whole && answer.body.size() > kMaxBufferedBytes;
      });
  if (outcome.status == 0 && !outcome.was_instance_unavailable &&
      !was_broken_off) {
    checker.violations.push_back(
        id + " received no complete response: " + outcome.detail);
  }
  if (outcome.is_late && !outcome.was_instance_unavailable) {
    checker.violations.push_back(id + " ended long after its deadline");
  }
  const std::string mix_up =
      outcome.status == 0 ? "" : FindMixUp(id, request, outcome);
  if (!mix_up.empty()) {
    checker.violations.push_back(id + " " + mix_up + ": " + outcome.detail);
  }
  // The response names the server that told this instance that it leaves.
  for (const ServerAnswer& answer : request.answers) {
    if (answer.says_leaving && mix_up.empty() &&
        outcome.status == answer.status &&
        outcome.signature == answer.signature) {
      checker.departures[answer.server].told_at.try_emplace(request.instance,
                                                            now);
    }
  }
  if (StatesNotExecuted(outcome.status)) {
    request.refusal_status = outcome.status;
    if (request.runs > 0) {
      checker.violations.push_back(id + " ran and received status " +
                                   std::to_string(outcome.status));
    }
  }
}

void CheckRateLimit(GuaranteeChecker& checker, const RateLimitBound& rate) {
  std::vector<std::pair<TimePoint, std::string>> runs;
  for (const auto& [id, request] : checker.requests) {
    if (request.is_rate_limited && request.runs > 0) {
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
      checker.violations.push_back(newest->second + " is request number " +
                                   std::to_string(within) +
                                   " of its workspace in one window");
      return;
    }
  }
}

}  // namespace parsleyquay
