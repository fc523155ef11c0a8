// The attempts of a request at backend servers, and what follows them.

#include <algorithm>

#include "entry/forwarding.h"
#include "entry/proxied_request.h"
#include "http/bind_call_handlers.h"
#include "http/relayed_body.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kHeldAnswerBytes = 64 * 1024;
constexpr std::size_t kKeptAnswerBytes = 16 * 1024;
constexpr Duration kShortestHeadWait = milliseconds(250);
constexpr Duration kUnknownHeadWait = milliseconds(2'000);
constexpr int kHeadWaitFactor = 10;
constexpr Duration kStallLimit = milliseconds(2'000);

bool IsStrongTag(const std::string& entity_tag) {
  return !entity_tag.empty() && !entity_tag.starts_with("W/");
}

}  // namespace

ForwardingOptions ProxiedRequest::DescribeForwarding(
    const ServerReservation& reservation) const {
  ForwardingOptions forwarding;
  forwarding.address = reservation.address;
  forwarding.request_id = this->request_id;
  forwarding.time_left = this->deadline - this->context.Now();
  forwarding.connection_use =
      this->may_run_once() ? ConnectionUse::kFresh : ConnectionUse::kReusable;
  if (this->is_body_held_whole) {
    forwarding.buffered_body_length = this->body.size();
  }
  if (this->answer.has_begun) {
    forwarding.resume_from = this->answer.received;
    forwarding.entity_tag = this->answer.entity_tag;
  }
  return forwarding;
}

void ProxiedRequest::Send(const ServerReservation& reservation) {
  this->attempt = AttemptState{};
  this->attempt.reservation = reservation;
  this->attempt.is_resume = this->answer.has_begun;
  this->attempt.progress_at = this->context.Now();
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
      MakeForwardedCall(*this->exchange, this->DescribeForwarding(reservation)),
      std::move(handlers));
}

BodyChunk ProxiedRequest::ReadBody(char* buffer, std::size_t capacity) {
  this->attempt.progress_at = this->context.Now();
  return ReadRelayedBody({this->body, this->is_body_held_whole},
                         this->attempt.body_sent, *this->exchange, buffer,
                         capacity);
}

void ProxiedRequest::OnHead(int status, const HeaderList& headers) {
  this->attempt.has_head = true;
  this->attempt.progress_at = this->context.Now();
  this->dependencies.pool.OnResponseHead(*this->attempt.reservation, headers);
  const std::string* echo = FindHeader(headers, "X-Request-Id");
  if (echo && *echo != this->request_id) {
    this->attempt.is_wrong = true;
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
  this->answer = AnswerState{};
  this->answer.status = status;
  this->answer.length = ParseUnsignedHeader(headers, "Content-Length");
  this->answer.entity_tag = HeaderValueOrEmpty(headers, "ETag");
  this->answer.can_resume = status == 200 && this->answer.length &&
                            IsStrongTag(this->answer.entity_tag) &&
                            this->exchange->method() == "GET";
  this->answer.headers =
      MakeForwardedResponseHeaders(headers, this->request_id);
}

// The rest of an answer counts only if it is the same answer, from the very
// byte at which the first part ended.
void ProxiedRequest::OnResumedHead(int status, const HeaderList& headers) {
  const std::string expected =
      "bytes " + std::to_string(this->answer.received) + "-";
  const bool is_same =
      status == 206 &&
      HeaderValueOrEmpty(headers, "Content-Range").starts_with(expected) &&
      HeaderValueOrEmpty(headers, "ETag") == this->answer.entity_tag;
  if (!is_same) {
    this->attempt.is_wrong = true;
    ++this->context.counters.wrong_answers;
  }
}

bool ProxiedRequest::OnData(std::string_view data) {
  this->attempt.progress_at = this->context.Now();
  if (this->attempt.is_wrong || this->attempt.is_shed) {
    return true;  // Not part of this request's answer.
  }
  if (this->answer.has_begun && !this->exchange->has_room()) {
    this->attempt.is_waiting_for_caller = true;
    return false;
  }
  this->answer.received += data.size();
  if (this->answer.is_body_kept) {
    this->answer.is_body_kept =
        this->answer.kept_body.size() + data.size() <= kKeptAnswerBytes;
    this->answer.kept_body +=
        this->answer.is_body_kept ? data : std::string_view();
  }
  if (this->answer.has_begun) {
    this->exchange->Write(data);
    return true;
  }
  this->answer.held += data;
  if (this->answer.held.size() >= kHeldAnswerBytes) {
    this->BeginAnswer();
  }
  return true;
}

void ProxiedRequest::BeginAnswer() {
  this->answer.has_begun = true;
  this->exchange->BeginResponse(this->answer.status, this->answer.headers,
                                this->answer.length);
  this->exchange->Write(this->answer.held);
  this->answer.held.clear();
}

void ProxiedRequest::OnDone(const CallResult& result) {
  if (this->is_closed) {
    return;
  }
  AttemptResult attempt_result = AttemptResult::kBroken;
  if (this->attempt.is_wrong) {
    attempt_result = AttemptResult::kMismatchedResponse;
  } else if (this->attempt.is_shed) {
    attempt_result = AttemptResult::kShed;
  } else if (result.outcome == CallOutcome::kComplete) {
    attempt_result = this->answer.status >= 500
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
  attempt_context.has_response_started = this->answer.has_begun;
  attempt_context.can_resume = this->answer.can_resume;
  attempt_context.can_replay_body = this->is_body_held_whole;
  attempt_context.attempts = this->attempts;
  attempt_context.time_left = this->deadline - this->context.Now();
  const NextStep step = ChooseNextStep(attempt_result, attempt_context);
  this->TakeStep(step, attempt_result);
  this->dependencies.queue.Dispatch(reservation.service);
}

void ProxiedRequest::TakeStep(NextStep step, AttemptResult attempt_result) {
  switch (step) {
    case NextStep::kForwardResponse:
      this->FinishAnswer();
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
      this->Refuse({503, RequestOutcome::kNotExecuted,
                    attempt_result == AttemptResult::kShed
                        ? "server_shed"
                        : "server_unreachable",
                    true, milliseconds(100)});
      return;
    case NextStep::kReportUnknownOutcome:
      this->CompleteClaim(ClaimState::kUnknown);
      this->AnswerUnknown("connection_lost");
      return;
    case NextStep::kReportFailure:
      ++this->context.counters.answered_failed;
      this->CountOutcome(ServedOutcome::kFailed);
      this->Refuse({502, RequestOutcome::kFailed, "servers_failed", true});
      return;
    case NextStep::kAbortResponse:
      ++this->context.counters.cut_answers;
      this->CountOutcome(ServedOutcome::kFailed);
      if (this->may_run_once()) {
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
    this->TakeStep(
        is_failure ? NextStep::kReportFailure : NextStep::kRejectNotExecuted,
        AttemptResult::kShed);
    return;
  }
  ++this->context.counters.retries;
  this->answer = AnswerState{};
  this->WaitForReservation();
}

void ProxiedRequest::Resume() {
  ++this->context.counters.resumes;
  LogEvent(LogLevel::kInfo, "resume",
           {{"request", this->request_id},
            {"from_byte", std::to_string(this->answer.received)}});
  // A download that moves on may outlast the deadline of its first byte.
  this->deadline = std::max(
      this->deadline,
      this->context.Now() + milliseconds(this->request_class.deadline_ms));
  this->WaitForReservation();
}

void ProxiedRequest::FinishAnswer() {
  ++this->context.counters.answered;
  const Duration latency = this->context.Now() - this->started_at;
  const bool is_failed = this->answer.status >= 500;
  const bool is_late =
      latency > milliseconds(this->request_class.target_latency_ms);
  this->CountOutcome(is_failed ? ServedOutcome::kFailed
                     : is_late ? ServedOutcome::kSlow
                               : ServedOutcome::kMet);
  if (this->may_run_once()) {
    this->CompleteClaim(ClaimState::kDone);
  }
  if (this->answer.has_begun) {
    this->exchange->Finish();
  } else if (this->exchange->method() == "HEAD") {
    this->exchange->BeginResponse(this->answer.status, this->answer.headers,
                                  this->answer.length);
    this->exchange->Finish();
  } else {
    this->exchange->Respond(this->answer.status, this->answer.headers,
                            std::move(this->answer.held));
  }
  this->Close();
}

// Watches over the deadline, heads that do not come and bodies that stall.
void ProxiedRequest::OnWatch() {
  const auto keep = this->shared_from_this();
  const TimePoint now = this->context.Now();
  if (!this->answer.has_begun && now >= this->deadline) {
    const bool is_on_its_way = this->attempt.call != nullptr;
    this->CancelAttempt(AttemptEvidence::kError);
    if (this->may_run_once() && (is_on_its_way || this->was_sent)) {
      this->CompleteClaim(ClaimState::kUnknown);
      this->AnswerUnknown("deadline_passed");
      return;
    }
    this->CountOutcome(ServedOutcome::kFailed);
    ++this->context.counters.answered_failed;
    this->Refuse({504,
                  this->was_sent ? RequestOutcome::kFailed
                                 : RequestOutcome::kNotExecuted,
                  "deadline_passed", true});
    return;
  }
  if (!this->attempt.call || this->attempt.is_waiting_for_caller ||
      this->may_run_once()) {
    return;
  }
  const Duration usual =
      this->dependencies.pool.MedianLatency(this->route.route.service);
  const Duration head_wait =
      usual > Duration(0) ? std::max(kShortestHeadWait, usual * kHeadWaitFactor)
                          : kUnknownHeadWait;
  const Duration limit = this->attempt.has_head ? kStallLimit : head_wait;
  if (now - this->attempt.progress_at < limit) {
    return;
  }
  this->attempt.call->Cancel();
  this->EndAttempt(AttemptResult::kStalled);
}

void ProxiedRequest::CancelAttempt(AttemptEvidence evidence) {
  if (this->token_wait != 0) {
    this->dependencies.rate_limiter.Cancel(this->caller.workspace,
                                           this->token_wait);
    this->token_wait = 0;
  }
  if (this->reservation_wait != 0) {
    this->dependencies.queue.Cancel(this->route.route.service,
                                    this->reservation_wait);
    this->reservation_wait = 0;
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

void ProxiedRequest::OnCallerReady() {
  const auto keep = this->shared_from_this();
  this->attempt.is_waiting_for_caller = false;
  this->attempt.progress_at = this->context.Now();
  if (this->attempt.call) {
    this->attempt.call->ResumeResponseBody();
  }
}

}  // namespace parsleyquay
