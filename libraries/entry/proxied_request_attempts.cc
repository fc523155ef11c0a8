// The part of ProxiedRequest that sends attempts to backend servers and handles
// their results.

#include <algorithm>

#include "entry/forwarding.h"
#include "entry/proxied_request.h"
#include "http/bind_call_handlers.h"
#include "http/relayed_body.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kResponseBufferBytes = 64 * 1024;
constexpr std::size_t kMaxStoredBodyBytes = 16 * 1024;
constexpr Duration kMinHeadTimeout = milliseconds(250);
constexpr Duration kDefaultHeadTimeout = milliseconds(2'000);
constexpr int kHeadTimeoutFactor = 10;
constexpr Duration kStallTimeout = milliseconds(2'000);

bool IsStrongTag(const std::string& entity_tag) {
  return !entity_tag.empty() && !entity_tag.starts_with("W/");
}

}  // namespace

ForwardingOptions ProxiedRequest::MakeForwarding(
    const ServerReservation& reservation) const {
  ForwardingOptions forwarding;
  forwarding.address = reservation.address;
  forwarding.request_id = this->request_id;
  forwarding.time_left = this->deadline - this->context.Now();
  forwarding.connection_use = this->is_at_most_once()
                                  ? ConnectionUse::kFresh
                                  : ConnectionUse::kReusable;
  if (this->is_body_buffered) {
    forwarding.buffered_body_length = this->buffered_body.size();
  }
  if (this->response.has_started) {
    forwarding.resume_from = this->response.received_bytes;
    forwarding.entity_tag = this->response.entity_tag;
  }
  return forwarding;
}

void ProxiedRequest::SendAttempt(const ServerReservation& reservation) {
  this->attempt = AttemptState{};
  this->attempt.reservation = reservation;
  this->attempt.is_resume = this->response.has_started;
  this->attempt.last_progress_at = this->context.Now();
  ++this->attempts;
  this->was_sent = true;
  if (this->attempts == 1) {
    LocalRetryBudget& budget = this->dependencies.retry_budgets[{
        this->route.route.request_class, this->caller.workspace}];
    budget = EarnRetry(budget);
  }
  CallHandlers handlers = BindCallHandlers<ProxiedRequest>(
      this->weak_from_this(), {.read_body = &ProxiedRequest::ReadBody,
                               .on_head = &ProxiedRequest::OnHead,
                               .on_data = &ProxiedRequest::OnData,
                               .on_done = &ProxiedRequest::OnDone});
  this->attempt.call = this->context.http.Start(
      MakeForwardedCall(*this->exchange, this->MakeForwarding(reservation)),
      std::move(handlers));
}

BodyChunk ProxiedRequest::ReadBody(char* buffer, std::size_t capacity) {
  this->attempt.last_progress_at = this->context.Now();
  return ReadRelayedBody({this->buffered_body, this->is_body_buffered},
                         this->attempt.body_sent, *this->exchange, buffer,
                         capacity);
}

void ProxiedRequest::OnHead(int status, const HeaderList& headers) {
  this->attempt.has_head = true;
  this->attempt.last_progress_at = this->context.Now();
  this->dependencies.pool.OnResponseHead(*this->attempt.reservation, headers);
  const std::string* echo = FindHeader(headers, "X-Request-Id");
  if (echo && *echo != this->request_id) {
    this->attempt.is_mismatched = true;
    // What follows on the connection may belong to another request too.
    this->attempt.call->AbortAfterCallback();
    ++this->context.counters.wrong_answers;
    LogEvent(LogLevel::kWarning, "wrong_answer",
             {{"server", this->attempt.reservation->server},
              {"request", this->request_id},
              {"echo", *echo}});
    return;
  }
  this->attempt.is_shed =
      status == 503 && FindHeader(headers, "X-Not-Run") != nullptr;
  if (this->attempt.is_shed) {
    return;
  }
  if (this->attempt.is_resume) {
    this->OnResumedHead(status, headers);
    return;
  }
  this->response = ResponseState{};
  this->response.status = status;
  this->response.length = ParseUnsignedHeader(headers, "Content-Length");
  this->response.entity_tag = HeaderValueOrEmpty(headers, "ETag");
  this->response.can_resume = status == 200 && this->response.length &&
                              IsStrongTag(this->response.entity_tag) &&
                              this->exchange->method() == "GET";
  this->response.headers =
      MakeForwardedResponseHeaders(headers, this->request_id);
}

// A resumed response is used only if it has the same entity tag and continues
// at exactly the byte at which the earlier part ended.
void ProxiedRequest::OnResumedHead(int status, const HeaderList& headers) {
  const std::string expected =
      "bytes " + std::to_string(this->response.received_bytes) + "-";
  const bool is_same_response =
      status == 206 &&
      HeaderValueOrEmpty(headers, "Content-Range").starts_with(expected) &&
      HeaderValueOrEmpty(headers, "ETag") == this->response.entity_tag;
  if (!is_same_response) {
    this->attempt.is_mismatched = true;
    ++this->context.counters.wrong_answers;
  }
}

bool ProxiedRequest::OnData(std::string_view data) {
  this->attempt.last_progress_at = this->context.Now();
  if (this->attempt.is_mismatched || this->attempt.is_shed) {
    return true;  // Discards the data; it is not part of the response.
  }
  if (this->response.has_started && !this->exchange->has_room()) {
    this->attempt.is_waiting_for_caller = true;
    return false;
  }
  this->response.received_bytes += data.size();
  if (this->response.is_body_stored) {
    this->response.is_body_stored =
        this->response.stored_body.size() + data.size() <= kMaxStoredBodyBytes;
    this->response.stored_body +=
        this->response.is_body_stored ? data : std::string_view();
  }
  if (this->response.has_started) {
    this->exchange->Write(data);
    return true;
  }
  this->response.buffered += data;
  if (this->response.buffered.size() >= kResponseBufferBytes) {
    this->StartResponse();
  }
  return true;
}

void ProxiedRequest::StartResponse() {
  this->response.has_started = true;
  this->exchange->BeginResponse(this->response.status, this->response.headers,
                                this->response.length);
  this->exchange->Write(this->response.buffered);
  this->response.buffered.clear();
}

void ProxiedRequest::OnDone(const CallResult& result) {
  if (this->is_closed) {
    return;
  }
  AttemptResult attempt_result = AttemptResult::kBroken;
  if (this->attempt.is_mismatched) {
    attempt_result = AttemptResult::kMismatchedResponse;
  } else if (this->attempt.is_shed) {
    attempt_result = AttemptResult::kShed;
  } else if (result.outcome == CallOutcome::kComplete) {
    attempt_result = this->response.status >= 500
                         ? AttemptResult::kServerError
                         : AttemptResult::kResponseReceived;
  } else if (result.outcome == CallOutcome::kNeverSent) {
    attempt_result = AttemptResult::kNeverSent;
  }
  this->EndAttempt(attempt_result);
}

AttemptEvidence ProxiedRequest::EvidenceOf(AttemptResult attempt_result) const {
  switch (attempt_result) {
    case AttemptResult::kResponseReceived:
      return AttemptEvidence::kResponseReceived;
    case AttemptResult::kShed:
      return AttemptEvidence::kShed;
    case AttemptResult::kServerError:
    case AttemptResult::kNeverSent:
    case AttemptResult::kBroken:
    case AttemptResult::kMismatchedResponse:
    case AttemptResult::kStalled:
      return AttemptEvidence::kError;
  }
  return AttemptEvidence::kError;
}

void ProxiedRequest::EndAttempt(AttemptResult attempt_result) {
  const auto keep = this->shared_from_this();
  const ServerReservation reservation = *this->attempt.reservation;
  this->attempt.call.reset();
  this->attempt.reservation.reset();
  this->dependencies.pool.Release(reservation,
                                  this->EvidenceOf(attempt_result));
  this->dependencies.health.ReportIfUrgent(reservation.service);
  if (attempt_result != AttemptResult::kResponseReceived) {
    this->failed_servers.push_back(reservation.server);
    LogEvent(LogLevel::kInfo, "attempt_failed",
             {{"request", this->request_id},
              {"server", reservation.server},
              {"end", std::to_string(static_cast<int>(attempt_result))}});
  }
  AttemptContext attempt_context;
  attempt_context.is_idempotent = this->request_class.is_idempotent;
  attempt_context.has_response_started = this->response.has_started;
  attempt_context.can_resume = this->response.can_resume;
  attempt_context.can_replay_body = this->is_body_buffered;
  attempt_context.attempts = this->attempts;
  attempt_context.time_left = this->deadline - this->context.Now();
  const NextStep step = ChooseNextStep(attempt_result, attempt_context);
  this->ApplyNextStep(step, attempt_result);
  this->dependencies.queue.Dispatch(reservation.service);
}

void ProxiedRequest::ApplyNextStep(NextStep step,
                                   AttemptResult attempt_result) {
  switch (step) {
    case NextStep::kForwardResponse:
      this->FinishResponse();
      return;
    case NextStep::kRetry:
      this->Retry();
      return;
    case NextStep::kResumeResponse:
      this->Resume();
      return;
    case NextStep::kRejectNotExecuted:
      ++this->context.counters.refused_capacity;
      this->CountOutcome(ServedOutcome::kShed);
      this->RespondError({503, RequestOutcome::kNotExecuted,
                          attempt_result == AttemptResult::kShed
                              ? "server_shed"
                              : "server_unreachable",
                          true, milliseconds(100)});
      return;
    case NextStep::kReportUnknownOutcome:
      this->CompleteClaim(ClaimState::kUnknown);
      this->RespondUnknown("connection_lost");
      return;
    case NextStep::kReportFailure:
      ++this->context.counters.answered_failed;
      this->CountOutcome(ServedOutcome::kFailed);
      this->RespondError(
          {502, RequestOutcome::kFailed, "servers_failed", true});
      return;
    case NextStep::kAbortResponse:
      ++this->context.counters.cut_answers;
      this->CountOutcome(ServedOutcome::kFailed);
      if (this->is_at_most_once()) {
        this->CompleteClaim(ClaimState::kUnknown);
      }
      this->exchange->Abort();
      this->Close();
      return;
  }
}

void ProxiedRequest::Retry() {
  LocalRetryBudget& budget = this->dependencies.retry_budgets[{
      this->route.route.request_class, this->caller.workspace}];
  const RetrySpendResult spend = SpendRetry(budget);
  budget = spend.budget;
  if (!spend.is_allowed) {
    const bool is_failure = this->request_class.is_idempotent;
    this->ApplyNextStep(
        is_failure ? NextStep::kReportFailure : NextStep::kRejectNotExecuted,
        AttemptResult::kShed);
    return;
  }
  ++this->context.counters.retries;
  this->response = ResponseState{};
  this->ReserveServer();
}

void ProxiedRequest::Resume() {
  ++this->context.counters.resumes;
  LogEvent(LogLevel::kInfo, "resume",
           {{"request", this->request_id},
            {"from_byte", std::to_string(this->response.received_bytes)}});
  // The deadline covers only the start of the response. A resumed download gets
  // a later one, as the queue rejects requests after their deadline.
  this->deadline = std::max(
      this->deadline,
      this->context.Now() + milliseconds(this->request_class.deadline_ms));
  this->ReserveServer();
}

void ProxiedRequest::FinishResponse() {
  ++this->context.counters.answered;
  const Duration latency = this->context.Now() - this->started_at;
  const bool is_failed = this->response.status >= 500;
  const bool is_late =
      latency > milliseconds(this->request_class.target_latency_ms);
  this->CountOutcome(is_failed ? ServedOutcome::kFailed
                     : is_late ? ServedOutcome::kSlow
                               : ServedOutcome::kMet);
  if (this->is_at_most_once()) {
    this->CompleteClaim(ClaimState::kDone);
  }
  if (this->response.has_started) {
    this->exchange->Finish();
  } else if (this->exchange->method() == "HEAD") {
    this->exchange->BeginResponse(this->response.status, this->response.headers,
                                  this->response.length);
    this->exchange->Finish();
  } else {
    this->exchange->Respond(this->response.status, this->response.headers,
                            std::move(this->response.buffered));
  }
  this->Close();
}

// Enforces the deadline and, for idempotent requests, the timeouts for the head
// of the response and for stalled transfers.
void ProxiedRequest::CheckTimeouts() {
  const auto keep = this->shared_from_this();
  const TimePoint now = this->context.Now();
  if (!this->response.has_started && now >= this->deadline) {
    const bool is_in_progress = this->attempt.call != nullptr;
    this->CancelPendingWork(AttemptEvidence::kError);
    if (this->is_at_most_once() && (is_in_progress || this->was_sent)) {
      this->CompleteClaim(ClaimState::kUnknown);
      this->RespondUnknown("deadline_passed");
      return;
    }
    this->CountOutcome(ServedOutcome::kFailed);
    ++this->context.counters.answered_failed;
    this->RespondError({504,
                        this->was_sent ? RequestOutcome::kFailed
                                       : RequestOutcome::kNotExecuted,
                        "deadline_passed", true});
    return;
  }
  if (!this->attempt.call || this->attempt.is_waiting_for_caller ||
      this->is_at_most_once()) {
    return;
  }
  const Duration usual =
      this->dependencies.pool.MedianLatency(this->route.route.service);
  const Duration head_timeout =
      usual > Duration(0)
          ? std::max(kMinHeadTimeout, usual * kHeadTimeoutFactor)
          : kDefaultHeadTimeout;
  const Duration timeout =
      this->attempt.has_head ? kStallTimeout : head_timeout;
  if (now - this->attempt.last_progress_at < timeout) {
    return;
  }
  this->attempt.call->Cancel();
  this->EndAttempt(AttemptResult::kStalled);
}

void ProxiedRequest::CancelPendingWork(AttemptEvidence evidence) {
  if (this->token_request_id != 0) {
    this->dependencies.rate_limiter.Cancel(this->caller.workspace,
                                           this->token_request_id);
    this->token_request_id = 0;
  }
  if (this->queue_entry_id != 0) {
    this->dependencies.queue.Cancel(this->route.route.service,
                                    this->queue_entry_id);
    this->queue_entry_id = 0;
  }
  if (this->attempt.call) {
    this->attempt.call->Cancel();
    this->attempt.call.reset();
  }
  if (this->attempt.reservation) {
    const ServerReservation reservation = *this->attempt.reservation;
    this->attempt.reservation.reset();
    this->dependencies.pool.Release(reservation, evidence);
    this->dependencies.queue.Dispatch(reservation.service);
  }
}

void ProxiedRequest::OnCallerWritable() {
  const auto keep = this->shared_from_this();
  this->attempt.is_waiting_for_caller = false;
  this->attempt.last_progress_at = this->context.Now();
  if (this->attempt.call) {
    this->attempt.call->ResumeResponseBody();
  }
}

}  // namespace parsleyquay
