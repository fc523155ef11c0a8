#include "gateway/proxied_request.h"

#include <algorithm>
#include <utility>

#include "http/request_target.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// Request bodies are buffered up to this size, so that they can be sent again.
constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;

// The memory of a call to a server: libcurl's buffers and state.
constexpr std::size_t kCallBytes = 80 * 1024;

// The timeout of requests on routes without one; clients may ask for less.
constexpr Duration kDefaultTimeout = seconds(30);

// How long a request may wait for a token of its workspace: an eighth of its
// remaining time, up to a maximum.
constexpr Duration kMaxTokenWait = milliseconds(300);
constexpr int kTokenWaitDivisor = 8;
// How long it may wait for a reachable instance that owns the token bucket: a
// third of its remaining time, up to a maximum.
constexpr Duration kMaxOwnerWait = milliseconds(700);
constexpr int kOwnerWaitDivisor = 3;

// The Retry-After delay if the instance cannot tell when a retry will succeed.
constexpr Duration kDefaultRetryAfter = milliseconds(400);

// A client whose instance is leaving connects to another instance, which can
// serve the request at once.
constexpr Duration kLeavingRetryAfter = milliseconds(50);

// Retry-After delays are increased at random by up to this share, so that
// clients that get errors at the same time do not retry at the same time.
constexpr double kRetryAfterJitter = 0.5;

}  // namespace

std::size_t HeadBytes(const ServerExchange& exchange) {
  std::size_t bytes = exchange.method().size() + exchange.target().size();
  for (const Header& header : exchange.headers()) {
    bytes += header.name.size() + header.value.size() + 4;  // ": " and CRLF
  }
  return bytes;
}

ProxiedRequest::ProxiedRequest(RequestDependencies dependencies,
                               std::shared_ptr<ServerExchange> exchange)
    : dependencies(dependencies),
      context(dependencies.context),
      exchange(std::move(exchange)),
      started_at(dependencies.context.Now()),
      timer(dependencies.context.loop, [this] { this->OnTimer(); }) {
  this->context.active_requests.insert(this);
}

ProxiedRequest::~ProxiedRequest() {
  this->context.active_requests.erase(this);
}

void ProxiedRequest::Start() {
  this->self = this->shared_from_this();
  const std::weak_ptr<ProxiedRequest> weak = this->self;
  const auto call = [weak](void (ProxiedRequest::*method)()) {
    return [weak, method] {
      if (const auto request = weak.lock()) {
        ((*request).*method)();
      }
    };
  };
  this->exchange->SetHandlers(
      {.on_body = call(&ProxiedRequest::BufferBody),
       .on_writable = call(&ProxiedRequest::OnClientWritable),
       .on_closed = call(&ProxiedRequest::OnClientDisconnected),
       .on_reject = call(&ProxiedRequest::RejectForMemory)});
  this->request_id = HeaderValueOrEmpty(
      this->exchange->headers(), this->context.protocol.request_id_header);
  if (!this->exchange->HasRoomFor(kCallBytes)) {
    this->RejectForMemory();
    return;
  }
  this->routing = this->context.routing;
  if (!this->routing) {
    this->RespondWithError({ErrorReason::kNotConfigured, kDefaultRetryAfter});
    return;
  }
  if (!this->CheckHead() || !this->FindWorkspace()) {
    return;
  }
  this->ComputeDeadline();
  this->service = SampleService(this->route(), this->context.random());
  this->StartTimer();
  this->BufferBody();
}

bool ProxiedRequest::CheckHead() {
  const HeaderList& headers = this->exchange->headers();
  const CallerLimits& limits = this->routing->configuration().limits;
  if (HeadBytes(*this->exchange) > limits.max_header_bytes) {
    this->RespondWithError({ErrorReason::kHeadersTooLarge});
    return false;
  }
  const auto parsed_framing =
      ParseMessageFraming(this->exchange->version(), headers);
  if (!parsed_framing || !IsRequestTarget(this->exchange->target()) ||
      !std::ranges::all_of(headers, &IsHeaderName, &Header::name)) {
    this->RespondWithError({ErrorReason::kMalformedRequest});
    return false;
  }
  this->framing = *parsed_framing;
  this->exchange->SetMaxBodyBytes(limits.max_body_bytes);
  if (this->framing.length > limits.max_body_bytes) {
    this->RespondWithError({ErrorReason::kBodyTooLarge});
    return false;
  }
  this->matched_route = this->routing->FindRoute(
      HeaderValueOrEmpty(headers, "Host"), this->exchange->target());
  if (!this->matched_route || this->route().services.empty()) {
    this->RespondWithError({ErrorReason::kNoRoute});
    return false;
  }
  return true;
}

bool ProxiedRequest::FindWorkspace() {
  const bool needs_key = !this->route().is_public &&
                         !this->routing->configuration().workspaces.empty();
  if (!needs_key) {
    return true;
  }
  const std::string* found =
      this->routing->FindWorkspaceByKey(BearerToken(this->exchange->headers()));
  if (!found) {
    this->RespondWithError({ErrorReason::kInvalidApiKey});
    return false;
  }
  this->workspace = *found;
  return true;
}

void ProxiedRequest::ComputeDeadline() {
  const auto requested = ParseUnsignedHeader(
      this->exchange->headers(), this->context.protocol.time_left_header);
  Duration timeout = this->route().timeout > Duration(0) ? this->route().timeout
                                                         : kDefaultTimeout;
  if (requested && milliseconds(*requested) < timeout) {
    timeout = milliseconds(*requested);
  }
  this->deadline = this->started_at + timeout;
  if (this->context.drain_deadline) {
    this->deadline = std::min(this->deadline, *this->context.drain_deadline);
  }
}

void ProxiedRequest::OnShutdown() {
  const bool has_deadline = this->deadline != TimePoint();
  if (this->is_closed || !has_deadline) {
    return;
  }
  this->deadline = std::min(this->deadline, *this->context.drain_deadline);
  this->StartTimer();
  if (this->admission_id != 0) {
    this->dependencies.admission.SetDeadline(this->service, this->admission_id,
                                             this->AdmissionDeadline());
  }
}

// Returns whether the request may still be sent to a server, if a graceful
// shutdown has set its deadline: early in the shutdown if the server is likely
// to respond before it, later not at all. A request that is not sent is
// rejected as not executed, and the client can send it to another instance.
bool ProxiedRequest::CanEndBeforeShutdown() const {
  const bool is_limited_by_shutdown =
      this->context.drain_deadline &&
      this->deadline >= *this->context.drain_deadline;
  return !is_limited_by_shutdown ||
         (this->started_at < this->context.full_deadline_since &&
          this->time_left() >=
              this->dependencies.load_balancer.LongServiceTime(this->service));
}

// Rejects the request if it is too late in a graceful shutdown to serve it.
// Returns whether it was rejected.
bool ProxiedRequest::RejectIfLeaving() {
  if (this->may_have_executed || this->CanEndBeforeShutdown()) {
    return false;
  }
  this->RespondWithError({ErrorReason::kLeaving, kLeavingRetryAfter});
  return true;
}

// Buffers the body until it is complete or the buffer is full, then continues
// with the rate limiter. Later calls resume sending the rest of the body.
void ProxiedRequest::BufferBody() {
  if (this->is_closed) {
    return;
  }
  if (this->has_finished_buffering) {
    if (this->attempt.call) {
      this->attempt.call->ResumeRequestBody();
    }
    return;
  }
  std::array<char, kReadBytes> buffer;
  while (this->body.size() < kMaxBufferedBodyBytes) {
    const std::size_t wanted =
        std::min(buffer.size(), kMaxBufferedBodyBytes - this->body.size());
    const std::size_t size = this->exchange->ReadBody(buffer.data(), wanted);
    if (size == 0) {
      break;
    }
    this->body.append(buffer.data(), size);
  }
  this->UpdateHeldBytes();
  this->is_body_fully_buffered = this->exchange->is_body_complete();
  if (this->is_body_fully_buffered ||
      this->body.size() >= kMaxBufferedBodyBytes) {
    this->has_finished_buffering = true;
    this->RequestToken();
  }
}

// Tells the exchange what memory is held for the client in addition to its own.
void ProxiedRequest::UpdateHeldBytes() {
  this->exchange->SetHeldBytes(this->body.capacity() +
                               this->attempt.buffered_response.capacity() +
                               (this->attempt.call ? kCallBytes : 0));
}

void ProxiedRequest::RequestToken() {
  if (this->RejectIfLeaving()) {
    return;
  }
  if (this->workspace.empty()) {
    this->SendToAnyServer();
    return;
  }
  const Duration max_token_wait =
      std::min(kMaxTokenWait, this->time_left() / kTokenWaitDivisor);
  const std::weak_ptr<ProxiedRequest> weak = this->self;
  const Duration max_owner_wait =
      std::min(kMaxOwnerWait, this->time_left() / kOwnerWaitDivisor);
  this->dependencies.rate_limiter.RequestToken(
      {.workspace = this->workspace,
       .priority = this->route().priority,
       .max_token_wait = max_token_wait,
       .max_owner_wait = max_owner_wait},
      [weak](const RateLimitDecision& decision) {
        if (const auto request = weak.lock()) {
          request->OnRateLimitDecision(decision);
        }
      });
}

void ProxiedRequest::OnRateLimitDecision(const RateLimitDecision& decision) {
  if (this->is_closed) {
    return;
  }
  this->rate_limit_source = decision.source;
  if (!decision.is_granted) {
    this->RespondWithError({ErrorReason::kRateLimited, decision.retry_after});
    return;
  }
  this->SendToAnyServer();
}

ServerSelectionCriteria ProxiedRequest::MakeSelectionCriteria() const {
  return {.service = this->service,
          .route = this->route().name,
          .is_retryable = this->route().is_idempotent &&
                          this->MayTryAnotherServer(AttemptResult::kServerError,
                                                    this->tried.size() + 1),
          .is_bulk = this->route().is_bulk,
          .time_left = this->time_left(),
          .tried_servers = this->tried};
}

void ProxiedRequest::SendToAnyServer() {
  if (this->RejectIfLeaving()) {
    return;
  }
  if (this->is_subject_to_admission()) {
    this->RequestAdmission();
    return;
  }
  this->SendToAvailableServer();
}

void ProxiedRequest::SendToAvailableServer() {
  if (!this->may_have_executed && !this->exchange->HasRoomFor(kCallBytes)) {
    this->RejectForMemory();
    return;
  }
  const auto reservation =
      this->dependencies.load_balancer.Acquire(this->MakeSelectionCriteria());
  if (reservation) {
    this->Send(*reservation);
    return;
  }
  if (this->may_have_executed) {
    this->RespondWithError({ErrorReason::kServerFailed});
    return;
  }
  this->RespondWithError({ErrorReason::kNoServerAvailable, kDefaultRetryAfter});
}

void ProxiedRequest::OnTimer() {
  // The calls below may drop the last other reference to this object.
  const auto keep_alive = this->shared_from_this();
  if (this->time_left() > Duration(0)) {
    this->OnOverdue();
    if (!this->is_closed) {
      this->StartTimer();
    }
    return;
  }
  if (!this->attempt.call) {
    this->RespondWithError({this->may_have_executed
                                ? ErrorReason::kTimedOut
                                : ErrorReason::kTimedOutNotExecuted});
    return;
  }
  this->EndAttempt(AttemptResult::kStalled);
}

// Rejects the request if no server has received it.
void ProxiedRequest::RejectForMemory() {
  if (!this->is_closed && !this->attempt.call && !this->may_have_executed) {
    this->RespondWithError({ErrorReason::kOutOfMemory, kDefaultRetryAfter});
  }
}

// Waits for the deadline, or until the attempt exceeds the route's latency
// target.
void ProxiedRequest::StartTimer() {
  TimePoint expiry = this->deadline;
  if (this->attempt.call && !this->attempt.is_overdue) {
    expiry = std::min(expiry, this->attempt.reservation.acquired_at +
                                  this->route().latency_target);
  }
  this->timer.StartOnce(std::max(Duration(0), expiry - this->context.Now()));
}

void ProxiedRequest::OnClientWritable() {
  if (this->attempt.call) {
    this->attempt.call->ResumeResponseBody();
  }
}

void ProxiedRequest::OnClientDisconnected() {
  if (this->is_closed) {
    return;
  }
  if (this->attempt.call) {
    this->attempt.call->Cancel();
    this->ReleaseServer(std::nullopt);
    this->LogAttempt("caller_gone");
  }
  this->Close("caller_gone", 0);
}

void ProxiedRequest::RespondWithError(const ErrorResponse& error) {
  ErrorResponse jittered = error;
  if (jittered.retry_after) {
    std::uniform_real_distribution<double> factor(1, 1 + kRetryAfterJitter);
    jittered.retry_after = std::chrono::duration_cast<Duration>(
        *jittered.retry_after * factor(this->context.random));
  }
  SendErrorResponse(*this->exchange, jittered);
  this->Close(ErrorReasonName(error.reason), StatusCodeOf(error.reason));
}

void ProxiedRequest::Close(std::string_view outcome, int status) {
  const auto keep_alive = std::move(this->self);
  this->is_closed = true;
  this->CancelAdmission();
  this->timer.Stop();
  this->exchange->SetHandlers({});
  this->exchange->SetHeldBytes(0);
  const Duration elapsed = this->context.Now() - this->started_at;
  const std::string route_name = this->matched_route ? this->route().name : "-";
  LogEvent(
      LogLevel::kInfo, "request",
      {{"request", this->request_id},
       {"outcome", std::string(outcome)},
       {"status", std::to_string(status)},
       {"elapsed_ms", std::to_string(ToMilliseconds(elapsed))},
       {"route", route_name},
       {"service", this->service.empty() ? "-" : this->service},
       {"workspace", this->workspace.empty() ? "-" : this->workspace},
       {"allowance", std::string(RateLimitSourceName(this->rate_limit_source))},
       {"servers", std::to_string(this->tried.size())},
       {"time_left_ms", std::to_string(ToMilliseconds(this->time_left()))},
       {"version", std::to_string(this->context.configuration_version())}});
  const bool counts_for_service =
      !this->service.empty() && outcome != "caller_gone";
  if (counts_for_service && outcome != "served") {
    this->dependencies.load_balancer.ReportFailedRequest(this->service,
                                                         this->route());
  }
  IncrementCounter(this->context.metrics,
                   "requests{outcome=\"" + std::string(outcome) + "\"}");
  Observe(this->context.metrics.histograms["request"], elapsed);
}

Duration ProxiedRequest::time_left() const {
  return this->deadline - this->context.Now();
}

}  // namespace parsleyquay
