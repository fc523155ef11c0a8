#ifndef PARSLEYQUAY_ADMISSION_SERVICE_ADMISSION_H_
#define PARSLEYQUAY_ADMISSION_SERVICE_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/service_capacity.h"
#include "base/rate_meter.h"

namespace parsleyquay {

// The requests of one priority that this instance handles.
struct PriorityFlow {
  // How many requests of this and of higher priorities may be sent now;
  // negative after many of higher ones.
  double tokens = 1;
  RateMeter arrivals;  // of requests that no server has got yet
  Duration latency_target = Duration::max();  // of the last one that arrived

  bool operator==(const PriorityFlow&) const = default;
};

// What this instance may spend of the service's retry budget.
struct RetrySupply {
  bool is_available = false;  // one retry may be sent now
  double per_second = 0;      // that the requests of this instance earn

  bool operator==(const RetrySupply&) const = default;
};

// The state of admission control for one service at one instance.
struct ServiceAdmission {
  ServiceCapacity capacity;
  OverloadState overload;
  AdmissionQueue queue;
  std::map<int, PriorityFlow> flows;  // by priority
  TimePoint refilled_at;

  bool operator==(const ServiceAdmission&) const = default;
};

enum class AdmissionVerdict {
  kSend,    // to a server now
  kWait,    // in the queue
  kReject,  // it would wait too long
};

struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kSend;
  // How much longer than permitted the request would wait, if it is rejected.
  Duration excess = Duration(0);

  bool operator==(const AdmissionDecision&) const = default;
};

// Sets the capacity. Returns whether the service became overloaded or ceased to
// be so.
bool UpdateCapacity(ServiceAdmission& state,
                    const ServiceCapacity& capacity,
                    TimePoint now);

// Returns the requests per second that arrive at this instance.
double ArrivalRate(const ServiceAdmission& state, TimePoint now);

// Decides on a request that arrives, or that a server has just shed. Requests
// are sent at once while the service is not overloaded. The caller adds the
// request to the queue if it has to wait.
AdmissionDecision DecideOnArrival(ServiceAdmission& state,
                                  const AdmissionRequest& request,
                                  const RetrySupply& supply,
                                  TimePoint now);

// Removes and returns the next waiting request that may be sent now, or
// std::nullopt if all have to wait.
std::optional<AdmissionRequest> TakeSendable(ServiceAdmission& state,
                                             const RetrySupply& supply,
                                             TimePoint now);

// Removes and returns the waiting requests that will not be served in time:
// soon after their arrival, while a rejection is cheap, those that are expected
// to miss their latency target; later only those that would miss their
// deadline.
std::vector<AdmissionRequest> TakeHopeless(ServiceAdmission& state,
                                           const RetrySupply& supply,
                                           TimePoint now);

// Returns the Retry-After delay of a rejected request, at random so that the
// clients do not return together. Clients wait up to a third of the time they
// have left.
Duration RetryAfterOf(Duration excess,
                      Duration time_left,
                      std::uint64_t random);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ADMISSION_SERVICE_ADMISSION_H_
