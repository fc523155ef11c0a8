// The part of ProxiedRequest that waits while the service is overloaded.

#include <algorithm>

#include "gateway/admission_controller.h"
#include "gateway/proxied_request.h"

namespace parsleyquay {

namespace {

// The weight of workspaces without a rate limit, in requests per second.
constexpr double kDefaultWeight = 1;

}  // namespace

// Returns whether the request waits its turn if the service is overloaded:
// before the first server gets it, and after a server has shed it.
bool ProxiedRequest::is_subject_to_admission() const {
  return this->dependencies.admission.is_enabled() &&
         (this->tried.empty() || this->owes_retry);
}

int ProxiedRequest::priority() const {
  return GetWorkspaceConfiguration(this->routing->configuration(),
                                   this->workspace)
      .priority.value_or(this->route().priority);
}

AdmissionRequest ProxiedRequest::MakeAdmissionRequest() const {
  const WorkspaceConfiguration& configuration = GetWorkspaceConfiguration(
      this->routing->configuration(), this->workspace);
  return {.workspace = this->workspace,
          .weight = configuration.has_rate_limit()
                        ? configuration.requests_per_second
                        : kDefaultWeight,
          .priority = this->priority(),
          .is_retry = this->owes_retry,
          .bytes = this->body.size() + HeadBytes(*this->exchange),
          .started_at = this->started_at,
          .latency_target = this->route().latency_target,
          .deadline = this->AdmissionDeadline()};
}

// A leaving instance needs the time to serve the request before it exits, see
// CanEndBeforeShutdown().
TimePoint ProxiedRequest::AdmissionDeadline() const {
  const bool is_limited_by_shutdown =
      this->context.drain_deadline &&
      this->deadline >= *this->context.drain_deadline;
  return is_limited_by_shutdown
             ? this->deadline -
                   this->dependencies.load_balancer.LongServiceTime(
                       this->service)
             : this->deadline;
}

void ProxiedRequest::RequestAdmission() {
  const std::weak_ptr<ProxiedRequest> weak = this->self;
  const AdmissionController::Result result = this->dependencies.admission.Admit(
      this->service, this->MakeAdmissionRequest(),
      {.on_send =
           [weak] {
             if (const auto request = weak.lock()) {
               request->admission_id = 0;
               request->OnAdmitted();
             }
           },
       .on_reject =
           [weak](Duration retry_after) {
             if (const auto request = weak.lock()) {
               request->admission_id = 0;
               request->OnNotAdmitted(retry_after);
             }
           }});
  this->admission_id = result.id;
  switch (result.verdict) {
    case AdmissionVerdict::kSend:
      this->OnAdmitted();
      return;
    case AdmissionVerdict::kWait:
      this->StartTimer();
      return;
    case AdmissionVerdict::kReject:
      this->OnNotAdmitted(result.retry_after);
      return;
  }
}

void ProxiedRequest::OnAdmitted() {
  if (this->RejectIfLeaving()) {
    return;
  }
  if (this->owes_retry) {
    this->owes_retry = false;
    this->dependencies.retry_budgets.Spend(this->service, this->priority());
  }
  this->SendToAvailableServer();
}

void ProxiedRequest::OnNotAdmitted(Duration retry_after) {
  if (this->may_have_executed) {
    this->RespondWithError({ErrorReason::kServerFailed});
    return;
  }
  this->RespondWithError(
      {this->owes_retry ? ErrorReason::kNotExecuted : ErrorReason::kOverloaded,
       retry_after});
}

// Removes the request from the queue if it waits.
void ProxiedRequest::CancelAdmission() {
  if (this->admission_id != 0) {
    this->dependencies.admission.Cancel(this->service, this->admission_id);
    this->admission_id = 0;
  }
}

}  // namespace parsleyquay
