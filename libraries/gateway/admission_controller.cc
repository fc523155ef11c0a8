#include "gateway/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// Waiting requests are looked at this often. Short against the service time of
// most services, and cheap: it runs only while requests wait.
constexpr Duration kDispatchInterval = milliseconds(20);

// How long an estimate of a service's capacity is used. Loads of other
// instances' requests arrive in digests, four times a second at most.
constexpr Duration kEstimateAge = milliseconds(100);

// Share of the retry ratio that the budget counts on, see FleetRetryBudget.
constexpr double kUsedRetryRatio = 0.8;

std::string ToPercent(double share) {
  return std::to_string(std::lround(share * 100));
}

}  // namespace

AdmissionController::AdmissionController(GatewayContext& context,
                                         LoadBalancer& load_balancer,
                                         RetryBudgets& retry_budgets)
    : context(context),
      load_balancer(load_balancer),
      retry_budgets(retry_budgets),
      timer(context.loop, [this] { this->DispatchAll(); }) {}

AdmissionController::Result AdmissionController::Admit(
    const std::string& service,
    AdmissionRequest request,
    Handlers request_handlers) {
  ServiceAdmission& admission = this->UpToDateState(service).admission;
  // First attempts need no budget, and computing it costs more than the rest.
  const RetrySupply supply = request.is_retry
                                 ? this->RetrySupplyOf(service, admission)
                                 : RetrySupply{};
  if (request.is_retry && !supply.is_available) {
    this->retry_budgets.RecordUnmet(service, request.priority);
  }
  const AdmissionDecision decision =
      DecideOnArrival(admission, request, supply, this->context.Now());
  if (decision.verdict == AdmissionVerdict::kSend) {
    this->Count("admission_admitted", request);
    return {AdmissionVerdict::kSend};
  }
  request.id = ++this->last_id;
  request.queued_at = this->context.Now();
  if (decision.verdict == AdmissionVerdict::kReject ||
      !this->MakeRoom(admission, request)) {
    this->Count("admission_rejected", request);
    return {.verdict = AdmissionVerdict::kReject,
            .retry_after = this->MakeRetryAfter(request, decision.excess)};
  }
  AddRequest(admission.queue, request);
  this->waiting_bytes += request.bytes;
  if (this->handlers.empty()) {
    this->timer.StartOnce(kDispatchInterval);
  }
  this->handlers[request.id] = std::move(request_handlers);
  return {AdmissionVerdict::kWait, request.id};
}

void AdmissionController::Cancel(const std::string& service, std::uint64_t id) {
  const auto removed =
      RemoveRequest(this->services[service].admission.queue, id);
  if (removed) {
    this->waiting_bytes -= removed->bytes;
    this->handlers.erase(id);
    this->Count("admission_cancelled", *removed);
  }
}

void AdmissionController::SetDeadline(const std::string& service,
                                      std::uint64_t id,
                                      TimePoint deadline) {
  auto& requests = this->services[service].admission.queue.requests;
  const auto found = requests.find(id);
  if (found != requests.end()) {
    found->second.deadline = deadline;
  }
}

AdmissionController::ServiceState& AdmissionController::UpToDateState(
    const std::string& service) {
  ServiceState& state = this->services[service];
  const TimePoint now = this->context.Now();
  if (now - state.estimated_at >= kEstimateAge) {
    state.estimated_at = now;
    const bool has_changed = UpdateCapacity(
        state.admission, this->load_balancer.EstimateCapacity(service), now);
    if (has_changed) {
      this->LogOverload(service, state.admission);
    }
  }
  return state;
}

RetrySupply AdmissionController::RetrySupplyOf(
    const std::string& service,
    const ServiceAdmission& admission) const {
  return {.is_available = this->retry_budgets.CanSpend(service),
          .per_second = ArrivalRate(admission, this->context.Now()) *
                        this->context.settings.bounds.retry_ratio *
                        kUsedRetryRatio};
}

// Makes room for the request by rejecting waiting requests of lower priority,
// if there are enough. Returns whether there is room.
bool AdmissionController::MakeRoom(ServiceAdmission& admission,
                                   const AdmissionRequest& request) {
  const AdmissionLimits& limits = this->context.settings.admission;
  if (request.bytes > limits.max_waiting_bytes) {
    return false;
  }
  while (this->handlers.size() >= limits.max_waiting ||
         this->waiting_bytes + request.bytes > limits.max_waiting_bytes) {
    const auto id = FindEvictable(admission.queue, request.priority);
    if (!id) {
      return false;
    }
    this->Reject(*RemoveRequest(admission.queue, *id), Duration(0));
  }
  return true;
}

void AdmissionController::DispatchAll() {
  for (auto& [service, state] : this->services) {
    if (!state.admission.queue.requests.empty()) {
      this->Dispatch(service);
    }
  }
  if (!this->handlers.empty()) {
    this->timer.StartOnce(kDispatchInterval);
  }
}

// Sends the waiting requests whose turn it is, and rejects those that will not
// be served in time. The handlers may call Admit() and Cancel().
void AdmissionController::Dispatch(const std::string& service) {
  ServiceAdmission& admission = this->UpToDateState(service).admission;
  const TimePoint now = this->context.Now();
  while (const auto request = TakeSendable(
             admission, this->RetrySupplyOf(service, admission), now)) {
    this->waiting_bytes -= request->bytes;
    this->Count("admission_admitted", *request);
    Observe(this->context.metrics.histograms["admission_wait"],
            now - request->queued_at);
    this->TakeHandlers(request->id).on_send();
  }
  for (const AdmissionRequest& request :
       TakeHopeless(admission, this->RetrySupplyOf(service, admission), now)) {
    this->Reject(request, Duration(0));
  }
}

void AdmissionController::Reject(const AdmissionRequest& request,
                                 Duration excess) {
  this->waiting_bytes -= request.bytes;
  this->Count("admission_rejected", request);
  this->TakeHandlers(request.id)
      .on_reject(this->MakeRetryAfter(request, excess));
}

Duration AdmissionController::MakeRetryAfter(const AdmissionRequest& request,
                                             Duration excess) {
  return RetryAfterOf(excess, request.deadline - this->context.Now(),
                      this->context.random());
}

AdmissionController::Handlers AdmissionController::TakeHandlers(
    std::uint64_t id) {
  return std::move(this->handlers.extract(id).mapped());
}

void AdmissionController::Count(std::string_view counter,
                                const AdmissionRequest& request) {
  IncrementCounter(this->context.metrics,
                   std::string(counter) + "{priority=\"" +
                       std::to_string(request.priority) + "\"}");
}

void AdmissionController::LogOverload(const std::string& service,
                                      const ServiceAdmission& admission) const {
  const ServiceCapacity& capacity = admission.capacity;
  LogEvent(LogLevel::kInfo, "overload",
           {{"service", service},
            {"state", admission.overload.is_overloaded ? "entered" : "left"},
            {"load_percent", ToPercent(LoadRatio(capacity))},
            {"shed_percent", ToPercent(capacity.shed_share)},
            {"slots", std::to_string(std::lround(capacity.slots))},
            {"own_share_percent", ToPercent(capacity.instance_share)},
            {"waiting", std::to_string(admission.queue.requests.size())}});
}

}  // namespace parsleyquay
