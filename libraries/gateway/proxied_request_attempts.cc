// The attempts of a request at backend servers, and what follows them.

#include <algorithm>
#include <array>
#include <utility>

#include "gateway/proxied_request.h"
#include "http/bind_call_handlers.h"
#include "http/relayed_body.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// Answers up to these sizes are held until they are whole: of requests that
// may be sent again, so that a broken answer can be fetched anew; of others,
// so that a short one that breaks is a clean failure.
constexpr std::size_t kHeldRepeatableBytes = 640 * 1024;
constexpr std::size_t kHeldOnceBytes = 64 * 1024;

// Failures and refusals explain themselves in a few lines.
constexpr std::size_t kMostFaultyBytes = 64 * 1024;

// Machines answer the opening of a connection within a few milliseconds. What
// is not answered was not sent, so another server can be tried.
constexpr Duration kConnectTimeout = milliseconds(200);

// An attempt that took this many times the usual work and got no answer is
// held against the server; a shorter one was only cut by its time limit.
constexpr int kBrokenWorkFactor = 4;

// A server that could not be reached was not sent the request; so many may be
// tried besides those that were.
constexpr std::size_t kMostTried = 5;

// A server that sheds has room again when one of its requests is done.
constexpr Duration kShedRetryAfter = milliseconds(100);

constexpr int kMisdirectedStatus = 421;
constexpr int kGatewayTimeoutStatus = 504;
constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailableStatus = 503;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kRequestTimeoutStatus = 408;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// Statuses by which this instance promises that a request has not run. A
// server's own answer must not be taken for one.
bool LooksLikePromise(int status) {
  constexpr std::array kPromises = {kServiceUnavailableStatus,
                                    kTooManyRequestsStatus,
                                    kRequestTimeoutStatus, kMisdirectedStatus};
  return std::ranges::find(kPromises, status) != kPromises.end();
}

bool IsAnyOf(const std::string& name,
             std::initializer_list<std::string_view> names) {
  return std::ranges::any_of(names, [&](std::string_view other) {
    return IsSameHeaderName(name, other);
  });
}

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
  this->attempt = Attempt{};
  this->attempt.reservation = std::move(reservation);
  if (this->tried.size() == 1) {
    EarnRetry(this->dependencies.retry_budgets[this->service],
              this->dependencies.retry_limit());
  }
  CallHandlers handlers = BindCallHandlers<ProxiedRequest>(
      this->weak_from_this(), {.read_body = &ProxiedRequest::ReadBody,
                               .on_head = &ProxiedRequest::OnHead,
                               .on_data = &ProxiedRequest::OnData,
                               .on_done = &ProxiedRequest::OnDone});
  this->attempt.call =
      this->context.http.Start(this->MakeCall(), std::move(handlers));
  this->StartTimer();
}

CallRequest ProxiedRequest::MakeCall() const {
  const WireProtocol& protocol = this->context.protocol;
  CallRequest call;
  call.method = this->exchange->method();
  call.address = this->attempt.reservation.address;
  call.target = this->exchange->target();
  call.headers = EndToEndHeaders(this->exchange->headers());
  std::erase_if(call.headers, [&](const Header& header) {
    return IsAnyOf(
        header.name,
        {"Authorization", "Content-Length", "Expect", protocol.workspace_header,
         protocol.expected_server_header, protocol.time_left_header});
  });
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
  const auto length =
      ParseUnsignedHeader(this->exchange->headers(), "Content-Length");
  call.has_body =
      length || FindHeader(this->exchange->headers(), "Transfer-Encoding");
  call.body_length =
      this->is_body_held_whole ? std::optional(this->body.size()) : length;
  return call;
}

BodyChunk ProxiedRequest::ReadBody(char* buffer, std::size_t capacity) {
  return ReadRelayedBody({this->body, this->is_body_held_whole},
                         this->attempt.body_sent, *this->exchange, buffer,
                         capacity);
}

void ProxiedRequest::OnHead(int status, const HeaderList& headers) {
  this->attempt.status = status;
  this->attempt.headers = headers;
  const std::string load =
      HeaderValueOrEmpty(headers, this->context.protocol.load_header);
  if (!load.empty()) {
    this->attempt.load = this->context.protocol.parse_load(load);
  }
  this->attempt.fault = this->FindFault();
}

// What the head says of whether the answer can be one to this request.
std::optional<AttemptResult> ProxiedRequest::FindFault() const {
  const WireProtocol& protocol = this->context.protocol;
  const HeaderList& headers = this->attempt.headers;
  const int status = this->attempt.status;
  // Before a refusal is believed: one of an earlier request may be repeated.
  if (HeaderValueOrEmpty(headers, protocol.request_id_header) !=
      this->request_id) {
    return AttemptResult::kMismatchedResponse;
  }
  if (status == kMisdirectedStatus ||
      FindHeader(headers, protocol.not_executed_header) != nullptr) {
    return AttemptResult::kShed;
  }
  const bool is_signed =
      FindHeader(headers, protocol.response_signature_header) != nullptr;
  const bool is_encoded = FindHeader(headers, "Content-Encoding") != nullptr;
  if (is_encoded || (IsSuccess(status) && !is_signed)) {
    return AttemptResult::kMismatchedResponse;
  }
  if (status >= kFirstServerError) {
    return AttemptResult::kServerError;
  }
  return std::nullopt;
}

bool ProxiedRequest::OnData(std::string_view data) {
  if (this->has_response_started) {
    if (!this->exchange->has_room()) {
      return false;
    }
    this->exchange->Write(data);
    return true;
  }
  if (this->attempt.fault) {
    this->TakeFaultyData(data);
    return true;
  }
  this->attempt.held += data;
  const std::size_t most =
      this->route().is_idempotent ? kHeldRepeatableBytes : kHeldOnceBytes;
  if (this->attempt.held.size() > most) {
    this->BeginAnswer(
        ParseUnsignedHeader(this->attempt.headers, "Content-Length"));
  }
  return true;
}

// What follows a head that shows a fault is read on, so that the connection can
// be kept, but not without end.
void ProxiedRequest::TakeFaultyData(std::string_view data) {
  this->attempt.faulty_bytes += data.size();
  if (this->attempt.faulty_bytes > kMostFaultyBytes) {
    this->attempt.call->AbortAfterCallback();
    return;
  }
  if (*this->attempt.fault == AttemptResult::kServerError) {
    this->attempt.held += data;
  }
}

void ProxiedRequest::OnDone(const CallResult& result) {
  this->attempt.call = nullptr;
  switch (result.outcome) {
    case CallOutcome::kNeverSent:
      this->EndAttempt(AttemptResult::kNeverSent);
      return;
    case CallOutcome::kFailed:
    case CallOutcome::kTimedOut:
      // A head that says "not run" counts even if what follows it broke.
      this->EndAttempt(this->attempt.fault == AttemptResult::kShed
                           ? AttemptResult::kShed
                           : AttemptResult::kBroken);
      return;
    case CallOutcome::kComplete:
      this->EndAttempt(
          this->attempt.fault.value_or(AttemptResult::kResponseReceived));
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
  const bool is_not_run = attempt_result == AttemptResult::kShed ||
                          attempt_result == AttemptResult::kNeverSent;
  this->may_have_run = this->may_have_run || !is_not_run;
  this->unreached += attempt_result == AttemptResult::kNeverSent ? 1 : 0;
  this->ReleaseServer(this->OutcomeOf(attempt_result));
  this->TakeStep(attempt_result, this->DecideNext(attempt_result));
}

void ProxiedRequest::ReleaseServer(std::optional<ServerOutcome> outcome) {
  this->dependencies.load_balancer.Release(this->attempt.reservation, outcome,
                                           this->attempt.load);
}

std::optional<ServerOutcome> ProxiedRequest::OutcomeOf(
    AttemptResult attempt_result) const {
  const Duration elapsed =
      this->context.Now() - this->attempt.reservation.acquired_at;
  const bool is_long =
      elapsed >
      this->dependencies.load_balancer.ExpectedServiceTime(this->service) *
          kBrokenWorkFactor;
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
      return ServerOutcome::kUnreachable;
    case AttemptResult::kBroken:
    case AttemptResult::kMismatchedResponse:
      return ServerOutcome::kBroken;
    case AttemptResult::kStalled:
      return is_long ? std::optional(ServerOutcome::kBroken) : std::nullopt;
  }
  return std::nullopt;
}

NextStep ProxiedRequest::DecideNext(AttemptResult attempt_result) {
  const AttemptContext situation{
      .is_idempotent = this->route().is_idempotent,
      .has_response_started = this->has_response_started,
      .can_replay_body = this->MayRetry(attempt_result),
      .attempts = static_cast<long>(this->tried.size()) - 1,
      .time_left = this->time_left()};
  const NextStep step = ChooseNextStep(attempt_result, situation);
  // A server that was never reached got no request, and costs no retry.
  if (step == NextStep::kRetry && attempt_result != AttemptResult::kNeverSent) {
    SpendRetry(this->dependencies.retry_budgets[this->service],
               this->dependencies.retry_limit(),
               this->dependencies.instance_rank(), this->context.Now());
  }
  return step;
}

bool ProxiedRequest::MayRetry(AttemptResult attempt_result) const {
  return this->MaySendAgain(attempt_result, this->tried.size());
}

// Whether yet another server may be tried once `tried_servers` have been.
bool ProxiedRequest::MaySendAgain(AttemptResult attempt_result,
                                  std::size_t tried_servers) const {
  if (!this->is_body_held_whole || tried_servers >= kMostTried) {
    return false;
  }
  if (attempt_result == AttemptResult::kNeverSent) {
    return true;
  }
  const auto reached = static_cast<long>(tried_servers - this->unreached);
  return reached < std::max(1L, this->route().max_servers) &&
         CanSpendRetry(this->dependencies.retry_budgets[this->service],
                       this->dependencies.retry_limit(),
                       this->dependencies.instance_rank(), this->context.Now());
}

void ProxiedRequest::TakeStep(AttemptResult attempt_result, NextStep step) {
  switch (step) {
    case NextStep::kForwardResponse:
      this->DeliverAnswer();
      return;
    case NextStep::kRetry:
      this->Place();
      return;
    case NextStep::kRejectNotExecuted:
      this->Refuse(
          this->may_have_run
              ? ErrorResponse{ErrorReason::kServerFailed}
              : ErrorResponse{ErrorReason::kNotExecuted, kShedRetryAfter});
      return;
    case NextStep::kReportUnknownOutcome:
    case NextStep::kReportFailure:
      this->Refuse({attempt_result == AttemptResult::kStalled
                        ? ErrorReason::kTimedOut
                        : ErrorReason::kServerFailed});
      return;
    case NextStep::kResumeResponse:
    case NextStep::kAbortResponse:
      this->exchange->Abort();
      this->Close("answer_cut", this->attempt.status);
      return;
  }
}

void ProxiedRequest::BeginAnswer(std::optional<std::uint64_t> length) {
  const WireProtocol& protocol = this->context.protocol;
  HeaderList headers = EndToEndHeaders(this->attempt.headers);
  std::erase_if(headers, [&](const Header& header) {
    return IsAnyOf(
        header.name,
        {"Content-Length", protocol.load_header, protocol.server_id_header,
         protocol.cold_remaining_header, protocol.not_executed_header});
  });
  this->has_response_started = true;
  this->exchange->BeginResponse(this->attempt.status, std::move(headers),
                                length);
  this->exchange->Write(std::exchange(this->attempt.held, {}));
}

void ProxiedRequest::DeliverAnswer() {
  // A server that did run the request must not seem to promise that it has
  // not.
  if (!this->has_response_started && LooksLikePromise(this->attempt.status)) {
    this->Refuse({ErrorReason::kServerFailed});
    return;
  }
  if (!this->has_response_started) {
    this->BeginAnswer(this->attempt.held.size());
  }
  this->exchange->Finish();
  this->Close(IsSuccess(this->attempt.status) ? "served" : "server_answer",
              this->attempt.status);
}

// The answer is later than most. The server is doubted; what may run twice is
// sent to another one, if there is one, while the first has given no sign.
void ProxiedRequest::OnOverdue() {
  if (!this->attempt.call || this->attempt.is_overdue) {
    return;
  }
  this->attempt.is_overdue = true;
  this->dependencies.load_balancer.ReportOutcome(this->attempt.reservation,
                                                 ServerOutcome::kOverdue);
  const bool may_move =
      this->route().is_idempotent && this->attempt.status == 0 &&
      !this->context.is_leaving && this->MayRetry(AttemptResult::kStalled);
  if (!may_move) {
    return;
  }
  const auto reservation =
      this->dependencies.load_balancer.Acquire(this->MakeSelectionCriteria());
  if (!reservation) {
    return;
  }
  this->LogAttempt("moved");
  this->attempt.call->Cancel();
  this->may_have_run = true;
  this->ReleaseServer(this->OutcomeOf(AttemptResult::kStalled));
  SpendRetry(this->dependencies.retry_budgets[this->service],
             this->dependencies.retry_limit(),
             this->dependencies.instance_rank(), this->context.Now());
  this->Send(*reservation);
}

void ProxiedRequest::LogAttempt(std::string_view outcome) const {
  const ServerReservation& reservation = this->attempt.reservation;
  const Duration elapsed = this->context.Now() - reservation.acquired_at;
  LogEvent(LogLevel::kInfo, "attempt",
           {{"request", this->request_id},
            {"server", reservation.server},
            {"outcome", std::string(outcome)},
            {"status", std::to_string(this->attempt.status)},
            {"elapsed_ms", std::to_string(ToMilliseconds(elapsed))},
            {"failure_percent", std::to_string(static_cast<int>(
                                    reservation.failure_probability * 100))},
            {"load", std::to_string(static_cast<int>(reservation.load))},
            {"repeatable", this->route().is_idempotent ? "yes" : "no"}});
}

}  // namespace parsleyquay
