#include "admission/service_admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

#include "base/unit_interval.h"

namespace parsleyquay {

namespace {

// Time whose tokens an instance may save up. All instances together may send
// that much at once, so it is short against the servers' queues; without any,
// requests would wait for the uneven arrivals at their own instance.
constexpr double kSavedSeconds = 0.3;
// Time whose tokens requests of higher priorities may take in advance.
constexpr double kMaxDebtSeconds = 0.5;

// A request may wait if it is expected to take up to this share of its latency
// target, or of its time if the overload is short. The rest is for errors of
// the estimate.
constexpr double kLatencyTargetShare = 0.8;
constexpr double kDeadlineShare = 0.8;

// Share of the latency target within which a rejection costs nothing.
constexpr double kFreeHoldingShare = 0.125;

// A waiting request is given up at this share of the expected waiting time and
// time at the server, since many requests take less.
constexpr double kOptimism = 0.5;

// Share of the latency target that requests may spend at the server, and the
// load ratio that is used in any case.
constexpr double kServerTimeShare = 0.6;
constexpr double kMinTargetRatio = 1.2;
constexpr double kMinServiceSeconds = 0.001;

// Longer than any deadline: the expected wait of a request whose turn does not
// come.
constexpr double kNeverSeconds = 3'600;

// Share of the time that a client has left which it waits for Retry-After, and
// the factor by which the delay is increased at random before it is sent.
constexpr double kClientPatience = 1. / 3;
constexpr double kMaxJitter = 1.5;
constexpr Duration kMinRetryAfter = milliseconds(50);

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kNeverSeconds)));
}

Duration ShareOf(Duration duration, double share) {
  return std::chrono::duration_cast<Duration>(duration * share);
}

// Returns the load ratio at which requests with the latency target spend the
// permitted share of it at a server.
double LongestQueue(const ServiceAdmission& state, Duration latency_target) {
  return kServerTimeShare * ToSeconds(latency_target) /
         std::max(kMinServiceSeconds, ToSeconds(state.capacity.service_time));
}

// Returns the load ratio up to which requests of the priority fill the servers:
// no further than any higher priority, and not so far that the queueing at the
// servers alone takes them beyond their latency target.
double TargetRatioOf(const ServiceAdmission& state, int priority) {
  const double target = std::accumulate(
      state.flows.begin(), state.flows.upper_bound(priority),
      TargetLoadRatio(priority, state.overload),
      [&](double lowest, const auto& entry) {
        return std::min(lowest,
                        LongestQueue(state, entry.second.latency_target));
      });
  return std::max(kMinTargetRatio, target);
}

double SendingRateOf(const ServiceAdmission& state, int priority) {
  return SendingRate(state.capacity, TargetRatioOf(state, priority),
                     state.overload.pace);
}

// Returns the requests per second that arrive with higher priorities.
double HigherRate(const ServiceAdmission& state, int priority, TimePoint now) {
  return std::accumulate(state.flows.begin(), state.flows.lower_bound(priority),
                         0., [&](double sum, const auto& entry) {
                           return sum + RateAt(entry.second.arrivals, now);
                         });
}

Duration TargetOf(const AdmissionRequest& request) {
  return request.latency_target > Duration(0)
             ? request.latency_target
             : request.deadline - request.started_at;
}

// Returns the flow of the priority. A new one has no more tokens than the next
// higher priority, since these are spent for all lower ones too.
PriorityFlow& FlowOf(ServiceAdmission& state, int priority) {
  const auto next = state.flows.lower_bound(priority);
  if (next != state.flows.end() && next->first == priority) {
    return next->second;
  }
  PriorityFlow flow;
  if (next != state.flows.begin()) {
    flow.tokens = std::min(flow.tokens, std::prev(next)->second.tokens);
  }
  return state.flows.emplace(priority, flow).first->second;
}

void Refill(ServiceAdmission& state, TimePoint now) {
  const double elapsed =
      std::max(0., ToSeconds(now - std::exchange(state.refilled_at, now)));
  for (auto& [priority, flow] : state.flows) {
    const double rate = SendingRateOf(state, priority);
    const double saved = 1 + rate * kSavedSeconds;
    flow.tokens = state.overload.is_overloaded
                      ? std::min(saved, flow.tokens + rate * elapsed)
                      : 1;
  }
}

// Counts a request as sent: it uses the tokens of its own and of all lower
// priorities.
void SpendToken(ServiceAdmission& state, int priority) {
  for (auto flow = state.flows.lower_bound(priority); flow != state.flows.end();
       ++flow) {
    const double max_debt =
        1 + SendingRateOf(state, flow->first) * kMaxDebtSeconds;
    flow->second.tokens = std::max(-max_debt, flow->second.tokens - 1);
  }
}

bool HasToken(const ServiceAdmission& state, int priority) {
  return !state.overload.is_overloaded ||
         (state.capacity.pause_left <= Duration(0) &&
          state.flows.at(priority).tokens >= 1);
}

double SecondsFor(double count, double rate) {
  if (count <= 0) {
    return 0;
  }
  return rate > 0 ? std::min(kNeverSeconds, count / rate) : kNeverSeconds;
}

// Returns how long a request has to wait if `ahead` requests of its kind, first
// or second attempts, are served before it.
Duration ExpectedWait(const ServiceAdmission& state,
                      const AdmissionRequest& request,
                      std::size_t ahead,
                      const RetrySupply& supply,
                      TimePoint now) {
  const int priority = request.priority;
  const double position = static_cast<double>(ahead) + 1;
  double wait = 0;
  if (request.is_retry) {
    const double rate = supply.per_second - HigherRate(state, priority, now) *
                                                state.capacity.shed_share;
    // Budget that is available now is left to a higher priority that uses up
    // all that is earned.
    const double missing = position - (supply.is_available && rate > 0 ? 1 : 0);
    wait = SecondsFor(missing, rate);
  }
  if (state.overload.is_overloaded) {
    // Second attempts are sent before first ones of their priority.
    const double before = request.is_retry ? 1 : position;
    const double rate =
        SendingRateOf(state, priority) - HigherRate(state, priority, now);
    const double tokens = state.flows.at(priority).tokens;
    wait = std::max({wait, SecondsFor(before - tokens, rate),
                     ToSeconds(state.capacity.pause_left)});
  }
  return FromSeconds(wait);
}

// Returns whether the requests of the priority and of higher ones that wait
// become fewer: the overload is short, and a place in the queue is not taken
// from a later request.
bool IsDraining(const ServiceAdmission& state, int priority, TimePoint now) {
  return state.capacity.pause_left > Duration(0) ||
         HigherRate(state, priority + 1, now) < SendingRateOf(state, priority);
}

// Returns how much later than permitted a request would be that is sent after
// `wait`; not positive if it may wait.
Duration ExcessOf(const ServiceAdmission& state,
                  const AdmissionRequest& request,
                  Duration wait,
                  TimePoint now) {
  const TimePoint completion =
      now + wait + ExpectedTimeAtServer(state.capacity);
  const Duration target = TargetOf(request);
  const bool is_short_wait =
      now + wait - request.started_at <= ShareOf(target, kFreeHoldingShare);
  // If the servers are slow, a short wait changes little.
  if (is_short_wait) {
    return completion - request.deadline;
  }
  // A second attempt may be shed as well, and a late rejection costs more.
  const Duration permitted =
      request.is_retry ? ShareOf(target, kLatencyTargetShare *
                                             (1 - state.capacity.shed_share))
      : IsDraining(state, request.priority, now)
          ? ShareOf(request.deadline - request.started_at, kDeadlineShare)
          : ShareOf(target, kLatencyTargetShare);
  return completion -
         std::min(request.deadline, request.started_at + permitted);
}

bool IsHopeless(const ServiceAdmission& state,
                const AdmissionRequest& request,
                Duration wait,
                TimePoint now) {
  const Duration held = now - request.started_at;
  const bool is_free = held <= ShareOf(TargetOf(request), kFreeHoldingShare);
  const Duration earliest =
      ShareOf(wait + ExpectedTimeAtServer(state.capacity), kOptimism);
  return now + earliest >= request.deadline ||
         (is_free && ExcessOf(state, request, wait, now) > Duration(0));
}

}  // namespace

bool UpdateCapacity(ServiceAdmission& state,
                    const ServiceCapacity& capacity,
                    TimePoint now) {
  Refill(state, now);
  state.capacity = capacity;
  const bool was_overloaded = state.overload.is_overloaded;
  const bool has_first_attempts = std::ranges::any_of(
      state.queue.classes,
      [](const auto& entry) { return entry.first.is_first_attempt; });
  UpdateOverload(state.overload, capacity, has_first_attempts, now);
  return state.overload.is_overloaded != was_overloaded;
}

double ArrivalRate(const ServiceAdmission& state, TimePoint now) {
  return std::accumulate(state.flows.begin(), state.flows.end(), 0.,
                         [&](double sum, const auto& entry) {
                           return sum + RateAt(entry.second.arrivals, now);
                         });
}

AdmissionDecision DecideOnArrival(ServiceAdmission& state,
                                  const AdmissionRequest& request,
                                  const RetrySupply& supply,
                                  TimePoint now) {
  PriorityFlow& flow = FlowOf(state, request.priority);
  if (!request.is_retry) {
    RecordEvents(flow.arrivals, 1, now);
    flow.latency_target = TargetOf(request);
  }
  if (!request.is_retry && !state.overload.is_overloaded) {
    return {AdmissionVerdict::kSend};
  }
  Refill(state, now);
  const std::size_t ahead = CountAhead(state.queue, request);
  const Duration wait = ExpectedWait(state, request, ahead, supply, now);
  if (wait <= Duration(0) && ahead == 0) {
    SpendToken(state, request.priority);
    return {AdmissionVerdict::kSend};
  }
  const Duration excess = ExcessOf(state, request, wait, now);
  if (excess > Duration(0)) {
    return {AdmissionVerdict::kReject, excess};
  }
  return {AdmissionVerdict::kWait};
}

std::optional<AdmissionRequest> TakeSendable(ServiceAdmission& state,
                                             const RetrySupply& supply,
                                             TimePoint now) {
  Refill(state, now);
  const auto next =
      std::ranges::find_if(state.queue.classes, [&](const auto& entry) {
        return entry.first.is_first_attempt || supply.is_available;
      });
  if (next == state.queue.classes.end() ||
      !HasToken(state, next->first.priority)) {
    return std::nullopt;
  }
  const AdmissionClass next_class = next->first;
  SpendToken(state, next_class.priority);
  return TakeNext(state.queue, next_class);
}

std::vector<AdmissionRequest> TakeHopeless(ServiceAdmission& state,
                                           const RetrySupply& supply,
                                           TimePoint now) {
  std::vector<AdmissionRequest> hopeless;
  std::size_t first_ahead = 0;
  std::size_t second_ahead = 0;
  for (const std::uint64_t id : ServingOrder(state.queue)) {
    const AdmissionRequest& request = state.queue.requests.at(id);
    std::size_t& ahead = request.is_retry ? second_ahead : first_ahead;
    const Duration wait = ExpectedWait(state, request, ahead, supply, now);
    if (IsHopeless(state, request, wait, now)) {
      hopeless.push_back(*RemoveRequest(state.queue, id));
    } else {
      ++ahead;
    }
  }
  return hopeless;
}

Duration RetryAfterOf(Duration excess,
                      Duration time_left,
                      std::uint64_t random) {
  const Duration longest = ShareOf(time_left, kClientPatience / kMaxJitter);
  const Duration shortest =
      std::clamp(excess, Duration(0), std::max(Duration(0), longest / 2));
  return std::max(kMinRetryAfter, shortest + ShareOf(longest - shortest,
                                                     ToUnitInterval(random)));
}

}  // namespace parsleyquay
