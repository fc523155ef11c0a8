#ifndef PARSLEYQUAY_GATEWAY_ADMISSION_CONTROLLER_H_
#define PARSLEYQUAY_GATEWAY_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "admission/service_admission.h"
#include "event/timer.h"
#include "gateway/gateway_context.h"
#include "gateway/load_balancer.h"
#include "gateway/retry_budgets.h"

namespace parsleyquay {

// Holds requests in this instance while their service is overloaded, and
// decides in which order they are sent and which are rejected. Without
// `max_waiting` in the settings, it has no effect.
class AdmissionController {
 public:
  // What happens to a request that had to wait. One of them is called, unless
  // the request is cancelled first.
  struct Handlers {
    std::function<void()> on_send;
    std::function<void(Duration retry_after)> on_reject;
  };

  struct Result {
    AdmissionVerdict verdict = AdmissionVerdict::kSend;
    std::uint64_t id = 0;                // for Cancel(), if the request waits
    Duration retry_after = Duration(0);  // if it is rejected
  };

  AdmissionController(GatewayContext& context,
                      LoadBalancer& load_balancer,
                      RetryBudgets& retry_budgets);

  bool is_enabled() const {
    return this->context.settings.admission.max_waiting > 0;
  }

  // Decides on a request that arrives or that a server has shed. The handlers
  // are used only if it waits, and are not called before this returns.
  Result Admit(const std::string& service,
               AdmissionRequest request,
               Handlers handlers);

  // Called when a server of the service has asked for a pause.
  void OnPause(const std::string& service) {
    this->services[service].estimated_at = TimePoint();
  }

  // Removes a waiting request.
  void Cancel(const std::string& service, std::uint64_t id);

  // Changes the deadline of a waiting request.
  void SetDeadline(const std::string& service,
                   std::uint64_t id,
                   TimePoint deadline);

  // Returns the number of waiting requests.
  std::size_t waiting_count() const { return this->handlers.size(); }

 private:
  struct ServiceState {
    ServiceAdmission admission;
    TimePoint estimated_at;
  };

  ServiceState& UpToDateState(const std::string& service);
  RetrySupply RetrySupplyOf(const std::string& service,
                            const ServiceAdmission& admission) const;
  bool MakeRoom(ServiceAdmission& admission, const AdmissionRequest& request);
  void DispatchAll();
  void Dispatch(const std::string& service);
  void Reject(const AdmissionRequest& request, Duration excess);
  Duration MakeRetryAfter(const AdmissionRequest& request, Duration excess);
  Handlers TakeHandlers(std::uint64_t id);
  void Count(std::string_view counter, const AdmissionRequest& request);
  void LogOverload(const std::string& service,
                   const ServiceAdmission& admission) const;

  GatewayContext& context;
  LoadBalancer& load_balancer;
  RetryBudgets& retry_budgets;
  Timer timer;                                   // runs while requests wait
  std::map<std::string, ServiceState> services;  // by name
  std::map<std::uint64_t, Handlers> handlers;    // by id, of waiting requests
  std::size_t waiting_bytes = 0;
  std::uint64_t last_id = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_ADMISSION_CONTROLLER_H_
