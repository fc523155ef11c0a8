#include "gateway/proxied_request.h"

#include <algorithm>
#include <utility>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// Requests are held up to this size, so that they can be sent again.
constexpr std::size_t kHeldBodyBytes = 64 * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;

// For a route without a timeout whose caller names no time either.
constexpr Duration kLongestTime = seconds(30);

// How long a request may wait for its allowance: a small part of its time.
constexpr Duration kLongestRateLimitWait = milliseconds(300);
constexpr int kRateLimitWaitDivisor = 8;
// How long it may wait for somebody who can tell: a third of its time.
constexpr Duration kLongestOwnerWait = milliseconds(700);
constexpr int kOwnerWaitDivisor = 3;

// When nothing is known of when a server has room again.
constexpr Duration kUsualRetryAfter = milliseconds(400);

// Callers that are refused together do not return together.
constexpr double kRetryAfterSpread = 0.5;

std::size_t HeadBytes(const ServerExchange& exchange) {
  std::size_t bytes = exchange.method().size() + exchange.target().size();
  for (const Header& header : exchange.headers()) {
    bytes += header.name.size() + header.value.size() + 4;  // ": " and CRLF
  }
  return bytes;
}

}  // namespace

ProxiedRequest::ProxiedRequest(RequestDependencies dependencies,
                               std::shared_ptr<ServerExchange> exchange)
    : dependencies(dependencies),
      context(dependencies.context),
      exchange(std::move(exchange)),
      started_at(dependencies.context.Now()),
      timer(dependencies.context.loop, [this] { this->OnTimer(); }) {
  ++this->context.active_requests;
}

ProxiedRequest::~ProxiedRequest() {
  --this->context.active_requests;
}

void ProxiedRequest::Start() {
  this->self = this->shared_from_this();
  const std::weak_ptr<ProxiedRequest> weak = this->self;
  const auto call = [weak](void (ProxiedRequest::*member)()) {
    return [weak, member] {
      if (const auto request = weak.lock()) {
        ((*request).*member)();
      }
    };
  };
  this->exchange->SetHandlers(
      {.on_body = call(&ProxiedRequest::CollectBody),
       .on_writable = call(&ProxiedRequest::OnCallerReady),
       .on_closed = call(&ProxiedRequest::OnCallerGone)});
  this->request_id = HeaderValueOrEmpty(
      this->exchange->headers(), this->context.protocol.request_id_header);
  this->routing = this->context.routing;
  if (!this->routing) {
    this->Refuse({ErrorReason::kNotConfigured, kUsualRetryAfter});
    return;
  }
  if (!this->CheckHead() || !this->FindWorkspace()) {
    return;
  }
  this->ReadDeadline();
  this->service = SampleService(this->route(), this->context.random());
  this->StartTimer();
  this->CollectBody();
}

bool ProxiedRequest::CheckHead() {
  const HeaderList& headers = this->exchange->headers();
  const CallerLimits& limits = this->routing->configuration().limits;
  if (HeadBytes(*this->exchange) > limits.max_header_bytes) {
    this->Refuse({ErrorReason::kHeadersTooLarge});
    return false;
  }
  if (ParseUnsignedHeader(headers, "Content-Length").value_or(0) >
      limits.max_body_bytes) {
    this->Refuse({ErrorReason::kBodyTooLarge});
    return false;
  }
  this->matched_route = this->routing->FindRoute(
      HeaderValueOrEmpty(headers, "Host"), this->exchange->target());
  if (!this->matched_route || this->route().services.empty()) {
    this->Refuse({ErrorReason::kNoRoute});
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
    this->Refuse({ErrorReason::kInvalidApiKey});
    return false;
  }
  this->workspace = *found;
  return true;
}

void ProxiedRequest::ReadDeadline() {
  const auto asked = ParseUnsignedHeader(
      this->exchange->headers(), this->context.protocol.time_left_header);
  Duration time = this->route().timeout > Duration(0) ? this->route().timeout
                                                      : kLongestTime;
  if (asked && milliseconds(*asked) < time) {
    time = milliseconds(*asked);
  }
  this->deadline = this->started_at + time;
  if (this->context.drain_deadline) {
    this->deadline = std::min(this->deadline, *this->context.drain_deadline);
  }
}

// Collects the body until it is whole or as much as is held.
void ProxiedRequest::CollectBody() {
  if (this->is_closed) {
    return;
  }
  if (this->is_body_collected) {
    if (this->attempt.call) {
      this->attempt.call->ResumeRequestBody();
    }
    return;
  }
  std::array<char, kReadBytes> buffer;
  while (this->body.size() < kHeldBodyBytes) {
    const std::size_t room =
        std::min(buffer.size(), kHeldBodyBytes - this->body.size());
    const std::size_t size = this->exchange->ReadBody(buffer.data(), room);
    if (size == 0) {
      break;
    }
    this->body.append(buffer.data(), size);
  }
  this->is_body_held_whole = this->exchange->is_body_complete();
  if (this->is_body_held_whole || this->body.size() >= kHeldBodyBytes) {
    this->is_body_collected = true;
    this->RequestToken();
  }
}

void ProxiedRequest::RequestToken() {
  if (this->workspace.empty()) {
    this->Place();
    return;
  }
  const Duration patience = std::min(kLongestRateLimitWait,
                                     this->time_left() / kRateLimitWaitDivisor);
  const std::weak_ptr<ProxiedRequest> weak = this->self;
  const Duration owner_patience =
      std::min(kLongestOwnerWait, this->time_left() / kOwnerWaitDivisor);
  this->dependencies.rate_limiter.RequestToken(
      this->workspace, patience, owner_patience,
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
    this->Refuse({ErrorReason::kRateLimited, decision.retry_after});
    return;
  }
  this->Place();
}

ServerSelectionCriteria ProxiedRequest::MakeSelectionCriteria() const {
  return {.service = this->service,
          .is_retryable = this->route().is_idempotent &&
                          this->MaySendAgain(AttemptResult::kServerError,
                                             this->tried.size() + 1),
          .is_bulk = this->route().is_bulk,
          .time_left = this->time_left(),
          .tried_servers = this->tried};
}

void ProxiedRequest::Place() {
  const auto reservation =
      this->dependencies.load_balancer.Acquire(this->MakeSelectionCriteria());
  if (reservation) {
    this->Send(*reservation);
    return;
  }
  if (this->may_have_run) {
    this->Refuse({ErrorReason::kServerFailed});
    return;
  }
  this->Refuse({ErrorReason::kNoServerAvailable, kUsualRetryAfter});
}

void ProxiedRequest::OnTimer() {
  // What follows may close the flow, and nothing else need hold it then.
  const auto keep = this->shared_from_this();
  if (this->time_left() > Duration(0)) {
    this->OnOverdue();
    if (!this->is_closed) {
      this->StartTimer();
    }
    return;
  }
  if (!this->attempt.call) {
    this->Refuse({this->may_have_run ? ErrorReason::kTimedOut
                                     : ErrorReason::kTimedOutBeforeSend});
    return;
  }
  this->EndAttempt(AttemptResult::kStalled);
}

// Waits for the deadline, or for the time at which most answers have come.
void ProxiedRequest::StartTimer() {
  TimePoint next = this->deadline;
  if (this->attempt.call && !this->attempt.is_overdue) {
    next = std::min(next, this->attempt.reservation.acquired_at +
                              this->route().latency_target);
  }
  this->timer.StartOnce(std::max(Duration(0), next - this->context.Now()));
}

void ProxiedRequest::OnCallerReady() {
  if (this->attempt.call) {
    this->attempt.call->ResumeResponseBody();
  }
}

void ProxiedRequest::OnCallerGone() {
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

void ProxiedRequest::Refuse(const ErrorResponse& error_response) {
  ErrorResponse spread = error_response;
  if (spread.retry_after) {
    std::uniform_real_distribution<double> factor(1, 1 + kRetryAfterSpread);
    spread.retry_after = std::chrono::duration_cast<Duration>(
        *spread.retry_after * factor(this->context.random));
  }
  SendErrorResponse(*this->exchange, spread);
  this->Close(ErrorReasonName(error_response.reason),
              StatusCodeOf(error_response.reason));
}

void ProxiedRequest::Close(std::string_view outcome, int status) {
  const auto keep = std::move(this->self);
  this->is_closed = true;
  this->timer.Stop();
  this->exchange->SetHandlers({});
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
  const bool is_owed = !this->service.empty() && outcome != "caller_gone";
  if (is_owed && outcome != "served") {
    this->dependencies.load_balancer.ReportFailedRequest(this->service);
  }
  IncrementCounter(this->context.metrics,
                   "requests{outcome=\"" + std::string(outcome) + "\"}");
  Observe(this->context.metrics.histograms["request"], elapsed);
}

Duration ProxiedRequest::time_left() const {
  return this->deadline - this->context.Now();
}

}  // namespace parsleyquay
