#include "entry/request_flow.h"

#include <algorithm>

#include "base/random_id.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kRequestIdBytes = 8;
constexpr std::size_t kHeldBodyBytes = 64 * 1024;
constexpr Duration kWatchInterval = milliseconds(25);
constexpr Duration kTokenPatience = milliseconds(500);

}  // namespace

RequestFlow::RequestFlow(RequestServices services,
                         std::shared_ptr<ServerExchange> exchange,
                         RouteMatch route)
    : services(services),
      context(services.context),
      exchange(std::move(exchange)),
      route(std::move(route)),
      request_id(services.context.settings.name + "-" +
                 RandomHex(kRequestIdBytes)),
      started_at(services.context.Now()),
      deadline(this->started_at),
      watch_timer(services.context.loop, [this] { this->OnWatch(); }) {
  const auto& classes = this->context.fleet.declaration.request_classes;
  this->request_class = classes.at(this->route.route.request_class);
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
  if (!found && (has_key || !this->route.route.is_public)) {
    ++this->context.counters.refused_no_key;
    this->Refuse({401, RequestOutcome::kNotRun, "key_not_accepted", false});
    return;
  }
  this->key = found.value_or(CallerKey{});
  const auto& workspaces = this->context.fleet.declaration.workspaces;
  const auto declared = workspaces.find(this->key.workspace);
  if (declared != workspaces.end()) {
    this->workspace = declared->second;
  }
  if (auto refusal = this->FindReasonNotToSend()) {
    this->Refuse(std::move(*refusal));
    return;
  }
  this->services.health.RequestVerdictIfStale(this->route.route.service);
  this->exchange->SetHandlers({[this] { this->OnBody(); },
                               [this] { this->OnCallerReady(); },
                               [this] { this->OnCallerGone(); }});
  this->watch_timer.StartRepeating(kWatchInterval);
}

void RequestFlow::ReadDeadline() {
  const Duration declared = milliseconds(this->request_class.deadline_ms);
  const auto wanted =
      ParseUnsignedHeader(this->exchange->headers(), "X-Deadline-Ms");
  const Duration limit =
      wanted ? std::min(declared,
                        Duration(milliseconds(static_cast<long>(*wanted))))
             : declared;
  this->deadline = this->started_at + limit;
}

// The body is held up to a limit before anything is sent, so that it can be
// sent again and a slow caller holds no place at a server.
void RequestFlow::OnBody() {
  const auto keep = this->shared_from_this();
  if (this->is_body_collected) {
    if (this->attempt.call) {
      this->attempt.call->ResumeRequestBody();
    }
    return;
  }
  this->CollectBody();
}

void RequestFlow::CollectBody() {
  char buffer[16 * 1024];
  while (this->body.size() < kHeldBodyBytes) {
    const std::size_t size = this->exchange->ReadBody(buffer, sizeof(buffer));
    if (size == 0) {
      break;
    }
    this->body.append(buffer, size);
  }
  this->is_body_held_whole = this->exchange->is_body_complete();
  if (this->is_body_held_whole || this->body.size() >= kHeldBodyBytes) {
    this->is_body_collected = true;
    this->AcquireToken();
  }
}

void RequestFlow::AcquireToken() {
  if (this->key.workspace.empty()) {
    this->ClaimKey();
    return;
  }
  const TimePoint give_up_at =
      std::min(this->deadline, this->context.Now() + kTokenPatience);
  const auto keep = this->shared_from_this();
  this->token_wait = this->services.rate_limiter.RequestToken(
      this->key.workspace, give_up_at, [this, keep](const TokenResult& result) {
        this->token_wait = 0;
        if (this->is_closed) {
          return;
        }
        if (result.status == TokenStatus::kSpent) {
          this->ClaimKey();
          return;
        }
        this->RefuseOverLimit(result);
      });
}

void RequestFlow::RefuseOverLimit(const TokenResult& result) {
  OutcomeBody refusal{429, RequestOutcome::kNotRun, "over_limit", true,
                      result.retry_after};
  if (result.status == TokenStatus::kOwnersUnavailable) {
    refusal.status = 503;
    refusal.reason = "no_limit_home";
    refusal.addresses = this->services.other_addresses(this->key.workspace);
    this->CountOutcome(ServedOutcome::kShed);
  } else {
    this->CountOutcome(ServedOutcome::kOverLimit);
  }
  ++this->context.counters.refused_over_limit;
  this->Refuse(std::move(refusal));
}

void RequestFlow::ClaimKey() {
  const std::string idempotency_key =
      HeaderValueOrEmpty(this->exchange->headers(), "Idempotency-Key");
  this->has_idempotency_key = !idempotency_key.empty();
  if (!this->may_run_once()) {
    this->WaitForReservation();
    return;
  }
  if (!this->has_idempotency_key) {
    // The request id is new, so nobody else can have claimed it.
    this->claim_digest = ClaimDigest(this->key.workspace, this->request_id);
    this->WaitForReservation();
    return;
  }
  this->claim_digest = ClaimDigest(this->key.workspace, idempotency_key);
  const auto keep = this->shared_from_this();
  this->services.claims.AcquireClaim(
      this->claim_digest, this->request_id,
      [this, keep](const ClaimResult& result) { this->OnClaim(result); });
}

void RequestFlow::OnClaim(const ClaimResult& result) {
  if (this->is_closed) {
    if (result.decision == ClaimDecision::kMayExecute) {
      this->services.claims.Abandon(this->claim_digest, this->request_id);
    }
    return;
  }
  switch (result.decision) {
    case ClaimDecision::kMayExecute:
      this->WaitForReservation();
      return;
    case ClaimDecision::kTaken:
      this->claim_digest.clear();
      this->ReplayClaim(result.existing);
      return;
    case ClaimDecision::kUnknown:
      this->claim_digest.clear();
      this->AnswerUnknown("claims_lost");
      return;
    case ClaimDecision::kNotExecuted:
      this->claim_digest.clear();
      this->CountOutcome(ServedOutcome::kShed);
      this->Refuse({503, RequestOutcome::kNotRun, "claim_homes_silent", true,
                    std::nullopt, "", "",
                    this->services.other_addresses(this->key.workspace)});
      return;
  }
}

void RequestFlow::ReplayClaim(const Claim& claim) {
  if (claim.state != ClaimState::kDone) {
    this->AnswerUnknown(claim.state == ClaimState::kRunning ? "in_progress"
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

void RequestFlow::WaitForReservation() {
  const std::string flow_name =
      this->key.workspace.empty() ? "(open)" : this->key.workspace;
  const auto keep = this->shared_from_this();
  ReservationRequest request{this->route.route.service, flow_name,
                             this->workspace.weight, this->deadline,
                             this->failed_servers};
  const std::uint64_t id = this->services.queue.Enqueue(
      std::move(request),
      [this, keep](std::optional<ServerReservation> reservation) {
        this->reservation_wait = 0;
        this->OnReservation(std::move(reservation));
      });
  // NOTE: the callback may have run already.
  this->reservation_wait =
      this->attempt.reservation || this->is_closed ? 0 : id;
}

// What must hold at the moment of sending, not only on arrival.
std::optional<OutcomeBody> RequestFlow::FindReasonNotToSend() {
  OutcomeBody refusal{503, RequestOutcome::kNotRun, "", true};
  if (!this->context.is_current()) {
    ++this->context.counters.refused_not_current;
    refusal.reason = "instance_not_current";
    refusal.addresses = this->services.other_addresses(this->key.workspace);
    return refusal;
  }
  if (this->context.is_domain_withdrawn()) {
    ++this->context.counters.refused_withdrawn;
    refusal.reason = "failure_domain_withdrawn";
    refusal.addresses = this->services.other_addresses(this->key.workspace);
    return refusal;
  }
  const auto& keys = this->context.fleet.keys;
  const bool is_key_gone =
      !this->key.digest.empty() && !keys.contains(this->key.digest);
  if (is_key_gone) {
    ++this->context.counters.refused_no_key;
    return OutcomeBody{401, RequestOutcome::kNotRun, "key_not_accepted", false};
  }
  return std::nullopt;
}

void RequestFlow::OnReservation(std::optional<ServerReservation> reservation) {
  if (this->is_closed) {
    if (reservation) {
      this->services.pool.Release(*reservation, AttemptEvidence::kNone);
      this->services.queue.Dispatch(reservation->service);
    }
    return;
  }
  if (!reservation) {
    if (this->answer.has_begun) {
      this->TakeStep(NextStep::kAbortResponse, AttemptResult::kStalled);
      return;
    }
    ++this->context.counters.refused_capacity;
    this->CountOutcome(ServedOutcome::kShed);
    const bool may_have_run = this->was_sent && this->may_run_once();
    if (may_have_run) {
      this->AnswerUnknown("no_server_in_time");
      return;
    }
    this->Refuse(
        {503,
         this->was_sent ? RequestOutcome::kFailed : RequestOutcome::kNotRun,
         "no_server_in_time", true, milliseconds(100)});
    return;
  }
  std::optional<OutcomeBody> refusal = this->FindReasonNotToSend();
  if (refusal && !this->answer.has_begun) {
    this->services.pool.Release(*reservation, AttemptEvidence::kNone);
    if (this->was_sent) {
      refusal->outcome = RequestOutcome::kFailed;
    }
    this->Refuse(std::move(*refusal));
    return;
  }
  this->Send(*reservation);
}

void RequestFlow::OnCallerGone() {
  const auto keep = this->shared_from_this();
  if (this->is_closed) {
    return;
  }
  ++this->context.counters.caller_hangups;
  const bool is_worth_finishing = this->has_idempotency_key &&
                                  this->may_run_once() && this->attempt.call &&
                                  this->is_body_held_whole;
  if (is_worth_finishing) {
    return;  // Its outcome will be asked for with the same key.
  }
  const bool was_on_its_way = this->attempt.call != nullptr;
  this->CancelAttempt(AttemptEvidence::kNone);
  if (this->may_run_once() && was_on_its_way) {
    this->CompleteClaim(ClaimState::kUnknown);
  }
  this->Close();
}

void RequestFlow::AnswerUnknown(const std::string& reason) {
  ++this->context.counters.answered_unknown;
  this->CountOutcome(ServedOutcome::kFailed);
  const std::string ask_path =
      this->has_idempotency_key
          ? "/.parsleyquay/outcome"
          : "/.parsleyquay/outcome?request=" + this->request_id;
  OutcomeBody body{504,          RequestOutcome::kUnknown, reason,  false,
                   std::nullopt, this->request_id,         ask_path};
  this->claim_digest.clear();
  this->Refuse(std::move(body));
}

void RequestFlow::Refuse(OutcomeBody body) {
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
    outcome.response = {
        this->answer.status,
        HeaderValueOrEmpty(this->answer.headers, "Content-Type"),
        this->answer.is_body_kept ? this->answer.kept_body : "",
        this->answer.is_body_kept};
  }
  this->services.claims.Complete(this->claim_digest, outcome);
  this->claim_digest.clear();
}

void RequestFlow::CountOutcome(ServedOutcome outcome) {
  const std::string& name =
      this->key.workspace.empty() ? "(open)" : this->key.workspace;
  CountServedOutcome(this->context.burn,
                     {this->route.route.request_class, name}, outcome,
                     this->context.Now());
}

void RequestFlow::Close() {
  this->is_closed = true;
  this->watch_timer.Stop();
  this->exchange->SetHandlers({});
  this->CancelAttempt(AttemptEvidence::kNone);
  this->self.reset();
}

}  // namespace parsleyquay
