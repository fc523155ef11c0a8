// The part of ProxiedRequest that sends the request to backend servers and
// decides on retries.

#include <algorithm>
#include <utility>

#include "gateway/proxied_request.h"
#include "http/bind_call_handlers.h"
#include "http/relayed_body.h"

namespace parsleyquay {

namespace {

// A machine accepts a connection within a few milliseconds. Without a
// connection the request was not sent, so that another server can be tried.
constexpr Duration kConnectTimeout = milliseconds(200);

// The number of servers that a request may be tried at, including those that
// could not be reached and therefore did not get the request.
constexpr std::size_t kMaxTriedServers = 5;

// A server that shed the request has capacity again when one of its requests is
// done.
constexpr Duration kShedRetryAfter = milliseconds(100);

constexpr int kGatewayTimeoutStatus = 504;

std::string_view AttemptResultName(AttemptResult attempt_result) {
  switch (attempt_result) {
    case AttemptResult::kResponseReceived:
      return "answered";
    case AttemptResult::kServerError:
      return "server_error";
    case AttemptResult::kShed:
      return "shed";
    case AttemptResult::kNeverSent:
      return "never_sent";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kMismatchedResponse:
      return "wrong_answer";
    case AttemptResult::kStalled:
      return "stalled";
  }
  return "unknown";
}

}  // namespace

void ProxiedRequest::Send(ServerReservation reservation) {
  this->tried.insert(reservation.server);
  this->exchange->SetPassedOn(true);
  this->attempt = Attempt{};
  this->attempt.reservation = std::move(reservation);
  if (this->tried.size() == 1) {
    this->dependencies.retry_budgets.Earn(this->service);
  }
  CallHandlers handlers = BindCallHandlers<ProxiedRequest>(
      this->weak_from_this(), {.may_send = &ProxiedRequest::MaySend,
                               .read_body = &ProxiedRequest::ReadBody,
                               .on_head = &ProxiedRequest::OnHead,
                               .on_data = &ProxiedRequest::OnData,
                               .on_done = &ProxiedRequest::OnDone});
  this->attempt.call =
      this->context.http.Start(this->MakeCall(), std::move(handlers));
  this->UpdateHeldBytes();
  this->StartTimer();
}

CallRequest ProxiedRequest::MakeCall() const {
  const WireProtocol& protocol = this->context.protocol;
  CallRequest call;
  call.method = this->exchange->method();
  call.address = this->attempt.reservation.address;
  call.target = this->exchange->target();
  call.headers = EndToEndHeaders(this->exchange->headers());
  RemoveHeaders(
      call.headers,
      {"Authorization", "Content-Length", "Expect", protocol.workspace_header,
       protocol.expected_server_header, protocol.time_left_header});
  call.headers.push_back({protocol.time_left_header,
                          std::to_string(ToMilliseconds(this->time_left()))});
  call.headers.push_back(
      {protocol.expected_server_header, this->attempt.reservation.server});
  if (!this->workspace.empty()) {
    call.headers.push_back({protocol.workspace_header, this->workspace});
  }
  call.connection_use = this->route().is_idempotent ? ConnectionUse::kReusable
                                                    : ConnectionUse::kFresh;
  call.connect_timeout = std::min(kConnectTimeout, this->time_left());
  call.has_body = this->framing.body != BodyFraming::kNotStated;
  if (this->is_body_fully_buffered) {
    call.body_length = this->body.size();
  } else if (this->framing.body == BodyFraming::kLength) {
    call.body_length = this->framing.length;
  }
  return call;
}

BodyChunk ProxiedRequest::ReadBody(char* buffer, std::size_t capacity) {
  return ReadRelayedBody({this->body, this->is_body_fully_buffered},
                         this->attempt.body_bytes_sent, *this->exchange, buffer,
                         capacity);
}

// Returns whether the whole request body has been passed on.
bool ProxiedRequest::is_body_relayed() const {
  return this->exchange->is_body_complete() &&
         this->attempt.body_bytes_sent == this->body.size();
}

// Called when the connection is ready. The server may have begun to leave since
// it was chosen.
bool ProxiedRequest::MaySend(const CallConnection& connection) {
  this->attempt.connection = connection;
  this->attempt.is_withdrawn =
      !this->dependencies.load_balancer.MayReceive(this->attempt.reservation);
  if (this->attempt.is_withdrawn) {
    this->attempt.failure_reason = "server_left";
  }
  return !this->attempt.is_withdrawn;
}

void ProxiedRequest::OnDone(const CallResult& result) {
  this->attempt.call = nullptr;
  if (result.outcome != CallOutcome::kComplete &&
      this->attempt.failure_reason.empty()) {
    this->attempt.failure_reason = result.detail;
  }
  switch (result.outcome) {
    case CallOutcome::kNeverSent:
      this->EndAttempt(AttemptResult::kNeverSent);
      return;
    case CallOutcome::kFailed:
    case CallOutcome::kTimedOut:
      // Headers that say that the request was not executed, or that the
      // response is to another one, count even if the body is incomplete.
      this->EndAttempt(this->attempt.failure == AttemptResult::kShed ||
                               this->attempt.failure ==
                                   AttemptResult::kMismatchedResponse
                           ? *this->attempt.failure
                           : AttemptResult::kBroken);
      return;
    case CallOutcome::kComplete:
      this->EndAttempt(
          this->attempt.failure.value_or(AttemptResult::kResponseReceived));
      return;
  }
}

void ProxiedRequest::EndAttempt(AttemptResult attempt_result) {
  this->LogAttempt(AttemptResultName(attempt_result));
  if (this->attempt.call) {
    this->attempt.call->Cancel();
    this->attempt.call = nullptr;
  }
  if (this->attempt.status == kMisdirectedStatus) {
    this->dependencies.load_balancer.MarkMisdirected(this->attempt.reservation);
  }
  this->PauseServerIfAsked();
  const bool is_not_executed = attempt_result == AttemptResult::kShed ||
                               attempt_result == AttemptResult::kNeverSent;
  this->may_have_executed = this->may_have_executed || !is_not_executed;
  this->exchange->SetPassedOn(this->may_have_executed);
  this->UpdateHeldBytes();
  this->unreachable_count +=
      attempt_result == AttemptResult::kNeverSent ? 1 : 0;
  this->ReleaseServer(this->OutcomeOf(attempt_result));
  this->ExecuteStep(attempt_result, this->ChooseStep(attempt_result));
}

void ProxiedRequest::ReleaseServer(std::optional<ServerOutcome> outcome) {
  this->dependencies.load_balancer.Release(this->attempt.reservation, outcome,
                                           this->attempt.load);
}

std::optional<ServerOutcome> ProxiedRequest::OutcomeOf(
    AttemptResult attempt_result) const {
  const Duration elapsed =
      this->context.Now() - this->attempt.reservation.acquired_at;
  // A shorter attempt was only ended by the request's own deadline.
  const bool has_exceeded_service_time =
      elapsed > this->dependencies.load_balancer.LongServiceTime(this->service);
  switch (attempt_result) {
    case AttemptResult::kResponseReceived:
      return this->attempt.is_overdue ? std::nullopt
                                      : std::optional(ServerOutcome::kServed);
    case AttemptResult::kServerError:
      if (this->attempt.status == kGatewayTimeoutStatus) {
        return std::nullopt;
      }
      return ServerOutcome::kFailed;
    case AttemptResult::kShed:
      return ServerOutcome::kShed;
    case AttemptResult::kNeverSent:
      return this->attempt.is_withdrawn
                 ? std::nullopt
                 : std::optional(ServerOutcome::kUnreachable);
    case AttemptResult::kBroken:
    case AttemptResult::kMismatchedResponse:
      return ServerOutcome::kBroken;
    case AttemptResult::kStalled:
      return has_exceeded_service_time ? std::optional(ServerOutcome::kBroken)
                                       : std::nullopt;
  }
  return std::nullopt;
}

NextStep ProxiedRequest::ChooseStep(AttemptResult attempt_result) {
  AttemptContext attempt_context{
      .is_idempotent = this->route().is_idempotent,
      .has_response_started = this->has_response_started,
      .can_replay_body = this->MayTryAnotherServer(attempt_result),
      .attempts = static_cast<long>(this->tried.size()) - 1,
      .time_left = this->time_left()};
  const NextStep step = ChooseNextStep(attempt_result, attempt_context);
  // A shed request may wait before it is sent again.
  this->owes_retry = step == NextStep::kRetry &&
                     attempt_result == AttemptResult::kShed &&
                     this->dependencies.admission.is_enabled();
  // An attempt at an unreachable server sent no request, so that the next one
  // is not a retry.
  if (step == NextStep::kRetry && !this->owes_retry &&
      attempt_result != AttemptResult::kNeverSent) {
    this->dependencies.retry_budgets.Spend(this->service, this->priority());
  }
  // A retry that only the budget has prevented.
  attempt_context.can_replay_body =
      this->HasServersLeft(attempt_result, this->tried.size());
  if (step != NextStep::kRetry &&
      ChooseNextStep(attempt_result, attempt_context) == NextStep::kRetry) {
    this->dependencies.retry_budgets.RecordUnmet(this->service,
                                                 this->priority());
  }
  return step;
}

bool ProxiedRequest::MayTryAnotherServer(AttemptResult attempt_result) const {
  return this->MayTryAnotherServer(attempt_result, this->tried.size());
}

// Returns whether another server may be tried after `tried_servers` servers, of
// which the last attempt ended with `attempt_result`, apart from the budget.
bool ProxiedRequest::HasServersLeft(AttemptResult attempt_result,
                                    std::size_t tried_servers) const {
  if (!this->is_body_fully_buffered || tried_servers >= kMaxTriedServers) {
    return false;
  }
  if (attempt_result == AttemptResult::kNeverSent) {
    return true;
  }
  const auto reached_count =
      static_cast<long>(tried_servers - this->unreachable_count);
  return reached_count < std::max(1L, this->route().max_servers);
}

// Returns whether another server may be tried, as above, and the budget
// permits it or the request may wait for it.
bool ProxiedRequest::MayTryAnotherServer(AttemptResult attempt_result,
                                         std::size_t tried_servers) const {
  const bool needs_no_budget = attempt_result == AttemptResult::kNeverSent ||
                               (attempt_result == AttemptResult::kShed &&
                                this->dependencies.admission.is_enabled());
  return this->HasServersLeft(attempt_result, tried_servers) &&
         (needs_no_budget ||
          this->dependencies.retry_budgets.CanSpend(this->service));
}

void ProxiedRequest::ExecuteStep(AttemptResult attempt_result, NextStep step) {
  switch (step) {
    case NextStep::kForwardResponse:
      this->DeliverResponse();
      return;
    case NextStep::kRetry:
      this->SendToAnyServer();
      return;
    case NextStep::kRejectNotExecuted:
      this->RespondWithError(
          this->may_have_executed
              ? ErrorResponse{ErrorReason::kServerFailed}
              : ErrorResponse{ErrorReason::kNotExecuted, kShedRetryAfter});
      return;
    case NextStep::kReportUnknownOutcome:
    case NextStep::kReportFailure:
      this->RespondWithError({attempt_result == AttemptResult::kStalled
                                  ? ErrorReason::kTimedOut
                                  : ErrorReason::kServerFailed});
      return;
    // NOTE: kResumeResponse is not chosen, since can_resume is never set.
    case NextStep::kResumeResponse:
    case NextStep::kAbortResponse:
      this->exchange->Abort();
      this->Close("answer_cut", this->attempt.status);
      return;
  }
}

// Called when the attempt exceeds the route's latency target. Reports the
// server as overdue. If the request is idempotent, nothing of a response body
// has arrived, the retry budget allows it and another server is available,
// cancels the attempt and sends the request to that server.
void ProxiedRequest::OnOverdue() {
  if (!this->attempt.call || this->attempt.is_overdue) {
    return;
  }
  this->attempt.is_overdue = true;
  this->dependencies.load_balancer.ReportOutcome(this->attempt.reservation,
                                                 ServerOutcome::kOverdue);
  const bool may_reassign = this->route().is_idempotent &&
                            !this->attempt.has_received_data &&
                            !this->context.is_leaving &&
                            this->MayTryAnotherServer(AttemptResult::kStalled);
  if (!may_reassign) {
    return;
  }
  const auto reservation =
      this->dependencies.load_balancer.Acquire(this->MakeSelectionCriteria());
  if (!reservation) {
    return;
  }
  this->LogAttempt("moved");
  this->attempt.call->Cancel();
  this->may_have_executed = true;
  this->ReleaseServer(this->OutcomeOf(AttemptResult::kStalled));
  this->dependencies.retry_budgets.Spend(this->service, this->priority());
  this->Send(*reservation);
}

}  // namespace parsleyquay
