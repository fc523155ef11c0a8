#include "entry/request_flow.h"

#include <algorithm>

#include "base/random_id.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kRequestIdBytes = 8;
constexpr std::size_t kBodyBufferBytes = 64 * 1024;
constexpr Duration kTimeoutCheckInterval = milliseconds(25);
constexpr Duration kTokenTimeout = milliseconds(500);

}  // namespace

RequestFlow::RequestFlow(RequestServices services,
                         std::shared_ptr<ServerExchange> exchange,
                         FoundRoute route)
    : services(services),
      context(services.context),
      exchange(std::move(exchange)),
      route(std::move(route)),
      request_id(services.context.settings.name + "-" +
                 RandomHex(kRequestIdBytes)),
      started_at(services.context.Now()),
      deadline(this->started_at),
      timeout_timer(services.context.loop, [this] { this->CheckTimeouts(); }) {
  const auto& classes = this->context.fleet.declaration.work_classes;
  this->work_class = classes.at(this->route.route.work_class);
  ++this->context.active_requests;
}

RequestFlow::~RequestFlow() {
  --this->context.active_requests;
}

void RequestFlow::Start() {
  this->self = this->shared_from_this();
  ++this->context.counters.requests;
  this->ReadDeadline();
  const bool has_key = FindHeader(this->exchange->headers(), "Authorization");
  const std::optional<CallerKey> found =
      FindCallerKey(this->context.fleet, this->exchange->headers());
  if (!found && (has_key || !this->route.route.is_open)) {
    ++this->context.counters.refused_no_key;
    this->RespondError(
        {401, RequestOutcome::kNotRun, "key_not_accepted", false});
    return;
  }
  this->caller = found.value_or(CallerKey{});
  const auto& workspaces = this->context.fleet.declaration.workspaces;
  const auto declared = workspaces.find(this->caller.workspace);
  if (declared != workspaces.end()) {
    this->workspace = declared->second;
  }
  if (auto error = this->FindReasonNotToSend()) {
    this->RespondError(std::move(*error));
    return;
  }
  this->services.health.EnsureVerdict(this->route.route.service);
  this->exchange->SetHandlers({[this] { this->OnBody(); },
                               [this] { this->OnCallerWritable(); },
                               [this] { this->OnCallerDisconnected(); }});
  this->timeout_timer.StartRepeating(kTimeoutCheckInterval);
}

void RequestFlow::ReadDeadline() {
  const Duration declared = milliseconds(this->work_class.deadline_ms);
  const auto requested =
      ReadUnsigned(this->exchange->headers(), "X-Deadline-Ms");
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
void RequestFlow::OnBody() {
  const auto keep = this->shared_from_this();
  if (this->has_collected_body) {
    if (this->attempt.call) {
      this->attempt.call->ResumeBody();
    }
    return;
  }
  this->CollectBody();
}

void RequestFlow::CollectBody() {
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

void RequestFlow::AcquireToken() {
  if (this->caller.workspace.empty()) {
    this->ClaimIdempotencyKey();
    return;
  }
  const TimePoint token_deadline =
      std::min(this->deadline, this->context.Now() + kTokenTimeout);
  const auto keep = this->shared_from_this();
  this->token_wait = this->services.tokens.Acquire(
      this->caller.workspace, token_deadline,
      [this, keep](const TokenAnswer& result) {
        this->token_wait = 0;
        if (this->is_closed) {
          return;
        }
        if (result.verdict == TokenVerdict::kSpent) {
          this->ClaimIdempotencyKey();
          return;
        }
        this->RespondRateLimited(result);
      });
}

void RequestFlow::RespondRateLimited(const TokenAnswer& result) {
  OutcomeBody error{429, RequestOutcome::kNotRun, "over_limit", true,
                    result.retry_after};
  if (result.verdict == TokenVerdict::kNoHome) {
    error.status = 503;
    error.reason = "no_limit_home";
    error.addresses = this->services.other_addresses(this->caller.workspace);
    this->CountOutcome(ServedOutcome::kShed);
  } else {
    this->CountOutcome(ServedOutcome::kOverLimit);
  }
  ++this->context.counters.refused_over_limit;
  this->RespondError(std::move(error));
}

void RequestFlow::ClaimIdempotencyKey() {
  const std::string idempotency_key =
      HeaderText(this->exchange->headers(), "Idempotency-Key");
  this->has_idempotency_key = !idempotency_key.empty();
  if (!this->is_at_most_once()) {
    this->ReserveServer();
    return;
  }
  if (!this->has_idempotency_key) {
    // The request id is new, so no other request can have claimed it.
    this->claim_digest = ClaimDigest(this->caller.workspace, this->request_id);
    this->ReserveServer();
    return;
  }
  this->claim_digest = ClaimDigest(this->caller.workspace, idempotency_key);
  const auto keep = this->shared_from_this();
  this->services.claims.MakeClaim(
      this->claim_digest, this->request_id,
      [this, keep](const ClaimResult& result) { this->OnClaim(result); });
}

void RequestFlow::OnClaim(const ClaimResult& result) {
  if (this->is_closed) {
    if (result.decision == ClaimDecision::kMayRun) {
      this->services.claims.Abandon(this->claim_digest, this->request_id);
    }
    return;
  }
  switch (result.decision) {
    case ClaimDecision::kMayRun:
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
    case ClaimDecision::kNotRun:
      this->claim_digest.clear();
      this->CountOutcome(ServedOutcome::kShed);
      this->RespondError(
          {503, RequestOutcome::kNotRun, "claim_homes_silent", true,
           std::nullopt, "", "",
           this->services.other_addresses(this->caller.workspace)});
      return;
  }
}

void RequestFlow::RespondFromClaim(const Claim& claim) {
  if (claim.state != ClaimState::kDone) {
    this->RespondUnknown(claim.state == ClaimState::kRunning ? "in_progress"
                                                             : "outcome_lost");
    return;
  }
  ++this->context.counters.replayed_answers;
  HeaderList headers = {{"X-Request-Id", claim.request_id},
                        {"X-Replayed", "1"}};
  if (!claim.answer.content_type.empty()) {
    headers.push_back({"Content-Type", claim.answer.content_type});
  }
  if (!claim.answer.is_body_kept) {
    headers.push_back({"X-Body-Not-Kept", "1"});
  }
  this->CountOutcome(ServedOutcome::kMet);
  this->exchange->Respond(claim.answer.status, std::move(headers),
                          claim.answer.body);
  this->Close();
}

void RequestFlow::ReserveServer() {
  const std::string workspace_name =
      this->caller.workspace.empty() ? "(open)" : this->caller.workspace;
  const auto keep = this->shared_from_this();
  PlaceRequest request{this->route.route.service, workspace_name,
                       this->workspace.share, this->deadline,
                       this->failed_servers};
  const std::uint64_t id = this->services.queue.Wait(
      std::move(request), [this, keep](std::optional<ServerLease> reservation) {
        this->reservation_wait = 0;
        this->OnReservation(std::move(reservation));
      });
  // NOTE: The callback may already have run.
  this->reservation_wait =
      this->attempt.reservation || this->is_closed ? 0 : id;
}

// Returns the error with which the request must be rejected now, if any. The
// conditions are checked on arrival and again before sending, as they may have
// changed while the request waited.
std::optional<OutcomeBody> RequestFlow::FindReasonNotToSend() {
  OutcomeBody error{503, RequestOutcome::kNotRun, "", true};
  if (!this->context.is_current()) {
    ++this->context.counters.refused_not_current;
    error.reason = "instance_not_current";
    error.addresses = this->services.other_addresses(this->caller.workspace);
    return error;
  }
  if (this->context.is_domain_withdrawn()) {
    ++this->context.counters.refused_withdrawn;
    error.reason = "failure_domain_withdrawn";
    error.addresses = this->services.other_addresses(this->caller.workspace);
    return error;
  }
  const auto& keys = this->context.fleet.keys;
  const bool is_key_revoked =
      !this->caller.digest.empty() && !keys.contains(this->caller.digest);
  if (is_key_revoked) {
    ++this->context.counters.refused_no_key;
    return OutcomeBody{401, RequestOutcome::kNotRun, "key_not_accepted", false};
  }
  return std::nullopt;
}

void RequestFlow::OnReservation(std::optional<ServerLease> reservation) {
  if (this->is_closed) {
    if (reservation) {
      this->services.pool.Release(*reservation, AttemptEvidence::kNeutral);
      this->services.queue.Pump(reservation->service);
    }
    return;
  }
  if (!reservation) {
    if (this->response.has_started) {
      this->ApplyNextStep(NextStep::kCutAnswer, AttemptEnd::kStalled);
      return;
    }
    ++this->context.counters.refused_capacity;
    this->CountOutcome(ServedOutcome::kShed);
    const bool may_have_executed = this->was_sent && this->is_at_most_once();
    if (may_have_executed) {
      this->RespondUnknown("no_server_in_time");
      return;
    }
    this->RespondError(
        {503,
         this->was_sent ? RequestOutcome::kFailed : RequestOutcome::kNotRun,
         "no_server_in_time", true, milliseconds(100)});
    return;
  }
  std::optional<OutcomeBody> error = this->FindReasonNotToSend();
  if (error && !this->response.has_started) {
    this->services.pool.Release(*reservation, AttemptEvidence::kNeutral);
    if (this->was_sent) {
      error->outcome = RequestOutcome::kFailed;
    }
    this->RespondError(std::move(*error));
    return;
  }
  this->SendAttempt(*reservation);
}

void RequestFlow::OnCallerDisconnected() {
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
  this->CancelPendingWork(AttemptEvidence::kNeutral);
  if (this->is_at_most_once() && was_in_progress) {
    this->CompleteClaim(ClaimState::kUnknown);
  }
  this->Close();
}

void RequestFlow::RespondUnknown(const std::string& reason) {
  ++this->context.counters.answered_unknown;
  this->CountOutcome(ServedOutcome::kFailed);
  const std::string ask_path =
      this->has_idempotency_key
          ? "/.parsleyquay/outcome"
          : "/.parsleyquay/outcome?request=" + this->request_id;
  OutcomeBody body{504,          RequestOutcome::kUnknown, reason,  false,
                   std::nullopt, this->request_id,         ask_path};
  this->claim_digest.clear();
  this->RespondError(std::move(body));
}

void RequestFlow::RespondError(OutcomeBody body) {
  const bool must_abandon = !this->claim_digest.empty() &&
                            this->has_idempotency_key && !this->is_closed &&
                            body.outcome == RequestOutcome::kNotRun;
  if (must_abandon) {
    this->services.claims.Abandon(this->claim_digest, this->request_id);
  }
  body.request_id = this->request_id;
  HeaderList headers = {{"Content-Type", "application/json"},
                        {"X-Request-Id", this->request_id}};
  if (body.retry_after) {
    const auto whole_seconds = std::chrono::ceil<seconds>(*body.retry_after);
    headers.push_back({"Retry-After", std::to_string(whole_seconds.count())});
  }
  if (!this->exchange->is_closed()) {
    this->exchange->Respond(body.status, std::move(headers),
                            RenderOutcome(body));
  }
  this->Close();
}

void RequestFlow::CompleteClaim(ClaimState state) {
  if (this->claim_digest.empty()) {
    return;
  }
  Claim outcome{this->request_id, state, {}, {}};
  if (state == ClaimState::kDone) {
    outcome.answer = {
        this->response.status,
        HeaderText(this->response.headers, "Content-Type"),
        this->response.is_body_stored ? this->response.stored_body : "",
        this->response.is_body_stored};
  }
  this->services.claims.Settle(this->claim_digest, outcome);
  this->claim_digest.clear();
}

void RequestFlow::CountOutcome(ServedOutcome outcome) {
  const std::string& name =
      this->caller.workspace.empty() ? "(open)" : this->caller.workspace;
  Count(this->context.burn, {this->route.route.work_class, name}, outcome,
        this->context.Now());
}

void RequestFlow::Close() {
  this->is_closed = true;
  this->timeout_timer.Stop();
  this->exchange->SetHandlers({});
  this->CancelPendingWork(AttemptEvidence::kNeutral);
  this->self.reset();
}

}  // namespace parsleyquay
