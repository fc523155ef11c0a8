#include "entry/proxied_request.h"

#include <algorithm>

#include "base/random_id.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kRequestIdBytes = 8;
constexpr std::size_t kBodyBufferBytes = 64 * 1024;
constexpr Duration kTimeoutCheckInterval = milliseconds(25);
constexpr Duration kTokenTimeout = milliseconds(500);

}  // namespace

ProxiedRequest::ProxiedRequest(RequestDependencies dependencies,
                               std::shared_ptr<ServerExchange> exchange,
                               RouteMatch route)
    : dependencies(dependencies),
      context(dependencies.context),
      exchange(std::move(exchange)),
      route(std::move(route)),
      request_id(dependencies.context.settings.name + "-" +
                 RandomHex(kRequestIdBytes)),
      started_at(dependencies.context.Now()),
      deadline(this->started_at),
      timeout_timer(dependencies.context.loop,
                    [this] { this->CheckTimeouts(); }) {
  const auto& classes = this->context.fleet.declaration.request_classes;
  this->request_class = classes.at(this->route.route.request_class);
  ++this->context.active_requests;
}

ProxiedRequest::~ProxiedRequest() {
  --this->context.active_requests;
}

void ProxiedRequest::Start() {
  this->self = this->shared_from_this();
  ++this->context.counters.requests;
  this->ReadDeadline();
  const bool has_key = FindHeader(this->exchange->headers(), "Authorization");
  const std::optional<CallerIdentity> found =
      AuthenticateCaller(this->context.fleet, this->exchange->headers());
  if (!found && (has_key || !this->route.route.is_public)) {
    ++this->context.counters.refused_no_key;
    this->RespondError(
        {401, RequestOutcome::kNotExecuted, "key_not_accepted", false});
    return;
  }
  this->caller = found.value_or(CallerIdentity{});
  const auto& workspaces = this->context.fleet.declaration.workspaces;
  const auto declared = workspaces.find(this->caller.workspace);
  if (declared != workspaces.end()) {
    this->workspace = declared->second;
  }
  if (auto error = this->FindReasonNotToSend()) {
    this->RespondError(std::move(*error));
    return;
  }
  this->dependencies.health.RequestVerdictIfStale(this->route.route.service);
  this->exchange->SetHandlers({[this] { this->OnBody(); },
                               [this] { this->OnCallerWritable(); },
                               [this] { this->OnCallerDisconnected(); }});
  this->timeout_timer.StartRepeating(kTimeoutCheckInterval);
}

void ProxiedRequest::ReadDeadline() {
  const Duration declared = milliseconds(this->request_class.deadline_ms);
  const auto requested =
      ParseUnsignedHeader(this->exchange->headers(), "X-Deadline-Ms");
  const Duration limit =
      requested
          ? std::min(declared,
                     Duration(milliseconds(static_cast<long>(*requested))))
          : declared;
  this->deadline = this->started_at + limit;
}

// Buffers the body, up to kBodyBufferBytes, before anything is sent. A buffered
// body can be sent again in a retry, and a slow caller does not occupy a
// server.
void ProxiedRequest::OnBody() {
  const auto keep = this->shared_from_this();
  if (this->has_collected_body) {
    if (this->attempt.call) {
      this->attempt.call->ResumeRequestBody();
    }
    return;
  }
  this->CollectBody();
}

void ProxiedRequest::CollectBody() {
  char buffer[16 * 1024];
  while (this->buffered_body.size() < kBodyBufferBytes) {
    const std::size_t size = this->exchange->ReadBody(buffer, sizeof(buffer));
    if (size == 0) {
      break;
    }
    this->buffered_body.append(buffer, size);
  }
  this->is_body_buffered = this->exchange->is_body_complete();
  if (this->is_body_buffered ||
      this->buffered_body.size() >= kBodyBufferBytes) {
    this->has_collected_body = true;
    this->AcquireToken();
  }
}

void ProxiedRequest::AcquireToken() {
  if (this->caller.workspace.empty()) {
    this->ClaimIdempotencyKey();
    return;
  }
  const TimePoint token_deadline =
      std::min(this->deadline, this->context.Now() + kTokenTimeout);
  const auto keep = this->shared_from_this();
  this->token_request_id = this->dependencies.rate_limiter.RequestToken(
      this->caller.workspace, token_deadline,
      [this, keep](const TokenResult& result) {
        this->token_request_id = 0;
        if (this->is_closed) {
          return;
        }
        if (result.status == TokenStatus::kSpent) {
          this->ClaimIdempotencyKey();
          return;
        }
        this->RespondRateLimited(result);
      });
}

void ProxiedRequest::RespondRateLimited(const TokenResult& result) {
  ErrorResponse error{429, RequestOutcome::kNotExecuted, "over_limit", true,
                      result.retry_after};
  if (result.status == TokenStatus::kOwnersUnavailable) {
    error.status = 503;
    error.reason = "no_limit_home";
    error.alternative_addresses =
        this->dependencies.alternative_addresses(this->caller.workspace);
    this->CountOutcome(ServedOutcome::kShed);
  } else {
    this->CountOutcome(ServedOutcome::kOverLimit);
  }
  ++this->context.counters.refused_over_limit;
  this->RespondError(std::move(error));
}

void ProxiedRequest::ClaimIdempotencyKey() {
  const std::string idempotency_key =
      HeaderValueOrEmpty(this->exchange->headers(), "Idempotency-Key");
  this->has_idempotency_key = !idempotency_key.empty();
  if (!this->is_at_most_once()) {
    this->ReserveServer();
    return;
  }
  if (!this->has_idempotency_key) {
    // The request id is new, so no other request can have claimed it.
    this->claim_digest =
        MakeClaimDigest(this->caller.workspace, this->request_id);
    this->ReserveServer();
    return;
  }
  this->claim_digest = MakeClaimDigest(this->caller.workspace, idempotency_key);
  const auto keep = this->shared_from_this();
  this->dependencies.claims.AcquireClaim(
      this->claim_digest, this->request_id,
      [this, keep](const ClaimResult& result) { this->OnClaim(result); });
}

void ProxiedRequest::OnClaim(const ClaimResult& result) {
  if (this->is_closed) {
    if (result.decision == ClaimDecision::kMayExecute) {
      this->dependencies.claims.Abandon(this->claim_digest, this->request_id);
    }
    return;
  }
  switch (result.decision) {
    case ClaimDecision::kMayExecute:
      this->ReserveServer();
      return;
    case ClaimDecision::kTaken:
      this->claim_digest.clear();
      this->RespondFromClaim(result.existing);
      return;
    case ClaimDecision::kUnknown:
      this->claim_digest.clear();
      this->RespondUnknown("claims_lost");
      return;
    case ClaimDecision::kNotExecuted:
      this->claim_digest.clear();
      this->CountOutcome(ServedOutcome::kShed);
      this->RespondError(
          {503, RequestOutcome::kNotExecuted, "claim_homes_silent", true,
           std::nullopt, "", "",
           this->dependencies.alternative_addresses(this->caller.workspace)});
      return;
  }
}

void ProxiedRequest::RespondFromClaim(const Claim& claim) {
  if (claim.state != ClaimState::kDone) {
    this->RespondUnknown(claim.state == ClaimState::kRunning ? "in_progress"
                                                             : "outcome_lost");
    return;
  }
  ++this->context.counters.replayed_answers;
  HeaderList headers = {{"X-Request-Id", claim.request_id},
                        {"X-Replayed", "1"}};
  if (!claim.response.content_type.empty()) {
    headers.push_back({"Content-Type", claim.response.content_type});
  }
  if (!claim.response.is_body_stored) {
    headers.push_back({"X-Body-Not-Kept", "1"});
  }
  this->CountOutcome(ServedOutcome::kMet);
  this->exchange->Respond(claim.response.status, std::move(headers),
                          claim.response.body);
  this->Close();
}

void ProxiedRequest::ReserveServer() {
  const std::string workspace_name =
      this->caller.workspace.empty() ? "(open)" : this->caller.workspace;
  const auto keep = this->shared_from_this();
  ReservationRequest request{this->route.route.service, workspace_name,
                             this->workspace.weight, this->deadline,
                             this->failed_servers};
  const std::uint64_t id = this->dependencies.queue.Enqueue(
      std::move(request),
      [this, keep](std::optional<ServerReservation> reservation) {
        this->queue_entry_id = 0;
        this->OnReservation(std::move(reservation));
      });
  // NOTE: The callback may already have run.
  this->queue_entry_id = this->attempt.reservation || this->is_closed ? 0 : id;
}

// Returns the error with which the request must be rejected now, if any. The
// conditions are checked on arrival and again before sending, as they may have
// changed while the request waited.
std::optional<ErrorResponse> ProxiedRequest::FindReasonNotToSend() {
  ErrorResponse error{503, RequestOutcome::kNotExecuted, "", true};
  if (!this->context.has_view_lease()) {
    ++this->context.counters.refused_not_current;
    error.reason = "instance_not_current";
    error.alternative_addresses =
        this->dependencies.alternative_addresses(this->caller.workspace);
    return error;
  }
  if (this->context.is_own_domain_withdrawn()) {
    ++this->context.counters.refused_withdrawn;
    error.reason = "failure_domain_withdrawn";
    error.alternative_addresses =
        this->dependencies.alternative_addresses(this->caller.workspace);
    return error;
  }
  const auto& keys = this->context.fleet.keys;
  const bool is_key_revoked = !this->caller.key_digest.empty() &&
                              !keys.contains(this->caller.key_digest);
  if (is_key_revoked) {
    ++this->context.counters.refused_no_key;
    return ErrorResponse{401, RequestOutcome::kNotExecuted, "key_not_accepted",
                         false};
  }
  return std::nullopt;
}

void ProxiedRequest::OnReservation(
    std::optional<ServerReservation> reservation) {
  if (this->is_closed) {
    if (reservation) {
      this->dependencies.pool.Release(*reservation, AttemptEvidence::kNone);
      this->dependencies.queue.Dispatch(reservation->service);
    }
    return;
  }
  if (!reservation) {
    if (this->response.has_started) {
      this->ApplyNextStep(NextStep::kAbortResponse, AttemptResult::kStalled);
      return;
    }
    ++this->context.counters.refused_capacity;
    this->CountOutcome(ServedOutcome::kShed);
    const bool may_have_executed = this->was_sent && this->is_at_most_once();
    if (may_have_executed) {
      this->RespondUnknown("no_server_in_time");
      return;
    }
    this->RespondError({503,
                        this->was_sent ? RequestOutcome::kFailed
                                       : RequestOutcome::kNotExecuted,
                        "no_server_in_time", true, milliseconds(100)});
    return;
  }
  std::optional<ErrorResponse> error = this->FindReasonNotToSend();
  if (error && !this->response.has_started) {
    this->dependencies.pool.Release(*reservation, AttemptEvidence::kNone);
    if (this->was_sent) {
      error->outcome = RequestOutcome::kFailed;
    }
    this->RespondError(std::move(*error));
    return;
  }
  this->SendAttempt(*reservation);
}

void ProxiedRequest::OnCallerDisconnected() {
  const auto keep = this->shared_from_this();
  if (this->is_closed) {
    return;
  }
  ++this->context.counters.caller_hangups;
  const bool must_finish = this->has_idempotency_key &&
                           this->is_at_most_once() && this->attempt.call &&
                           this->is_body_buffered;
  if (must_finish) {
    return;  // The caller can look up the outcome with its idempotency key.
  }
  const bool was_in_progress = this->attempt.call != nullptr;
  this->CancelPendingWork(AttemptEvidence::kNone);
  if (this->is_at_most_once() && was_in_progress) {
    this->CompleteClaim(ClaimState::kUnknown);
  }
  this->Close();
}

void ProxiedRequest::RespondUnknown(const std::string& reason) {
  ++this->context.counters.answered_unknown;
  this->CountOutcome(ServedOutcome::kFailed);
  const std::string outcome_path =
      this->has_idempotency_key
          ? "/.parsleyquay/outcome"
          : "/.parsleyquay/outcome?request=" + this->request_id;
  ErrorResponse error_response{
      504,          RequestOutcome::kUnknown, reason,      false,
      std::nullopt, this->request_id,         outcome_path};
  this->claim_digest.clear();
  this->RespondError(std::move(error_response));
}

void ProxiedRequest::RespondError(ErrorResponse error_response) {
  const bool must_abandon =
      !this->claim_digest.empty() && this->has_idempotency_key &&
      !this->is_closed &&
      error_response.outcome == RequestOutcome::kNotExecuted;
  if (must_abandon) {
    this->dependencies.claims.Abandon(this->claim_digest, this->request_id);
  }
  error_response.request_id = this->request_id;
  HeaderList headers = {{"Content-Type", "application/json"},
                        {"X-Request-Id", this->request_id}};
  if (error_response.retry_after) {
    const auto whole_seconds =
        std::chrono::ceil<seconds>(*error_response.retry_after);
    headers.push_back({"Retry-After", std::to_string(whole_seconds.count())});
  }
  if (!this->exchange->is_closed()) {
    this->exchange->Respond(error_response.status, std::move(headers),
                            RenderErrorBody(error_response));
  }
  this->Close();
}

void ProxiedRequest::CompleteClaim(ClaimState state) {
  if (this->claim_digest.empty()) {
    return;
  }
  Claim outcome{this->request_id, state, {}, {}};
  if (state == ClaimState::kDone) {
    outcome.response = {
        this->response.status,
        HeaderValueOrEmpty(this->response.headers, "Content-Type"),
        this->response.is_body_stored ? this->response.stored_body : "",
        this->response.is_body_stored};
  }
  this->dependencies.claims.Complete(this->claim_digest, outcome);
  this->claim_digest.clear();
}

void ProxiedRequest::CountOutcome(ServedOutcome outcome) {
  const std::string& name =
      this->caller.workspace.empty() ? "(open)" : this->caller.workspace;
  CountServedOutcome(this->context.burn_counters,
                     {this->route.route.request_class, name}, outcome,
                     this->context.Now());
}

void ProxiedRequest::Close() {
  this->is_closed = true;
  this->timeout_timer.Stop();
  this->exchange->SetHandlers({});
  this->CancelPendingWork(AttemptEvidence::kNone);
  this->self.reset();
}

}  // namespace parsleyquay
