#ifndef PARSLEYQUAY_ENTRY_PROXIED_REQUEST_H_
#define PARSLEYQUAY_ENTRY_PROXIED_REQUEST_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "declaration/route_table.h"
#include "entry/caller_identity.h"
#include "entry/claim_coordinator.h"
#include "entry/entry_context.h"
#include "entry/error_response.h"
#include "entry/forwarding.h"
#include "entry/health_coordinator.h"
#include "entry/request_queue.h"
#include "entry/server_pool.h"
#include "entry/workspace_rate_limiter.h"
#include "http/server_exchange.h"
#include "retry/attempt_outcome.h"
#include "retry/local_retry_budget.h"

namespace parsleyquay {

// The components of the instance that a request uses.
struct RequestDependencies {
  EntryContext& context;
  WorkspaceRateLimiter& rate_limiter;
  ClaimCoordinator& claims;
  RequestQueue& queue;
  ServerPool& pool;
  HealthCoordinator& health;
  std::map<BurnKey, LocalRetryBudget>& retry_budgets;
  // Returns the HTTP addresses of other instances, at which a caller of the
  // workspace may retry a rejected request.
  std::function<std::vector<std::string>(const std::string& workspace)>
      alternative_addresses;
};

// One caller's request while it is being proxied. In this order: its API key is
// checked, its body is buffered, a rate limit token is acquired, its
// idempotency key is claimed, a backend server is reserved, the request is
// sent, and the response is forwarded. Failed attempts are retried at other
// servers where this is safe. Keeps itself alive until the response is complete
// or the caller has disconnected.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
 public:
  ProxiedRequest(RequestDependencies dependencies,
                 std::shared_ptr<ServerExchange> exchange,
                 RouteMatch route);
  ~ProxiedRequest();

  void Start();

 private:
  // The response to the caller so far. A resumed response consists of parts
  // from several attempts.
  struct ResponseState {
    bool has_started = false;  // its head has been sent to the caller
    int status = 0;
    HeaderList headers;
    std::string buffered;  // body not yet sent to the caller
    std::uint64_t received_bytes = 0;
    std::optional<std::uint64_t> length;
    std::string entity_tag;
    bool can_resume = false;
    std::string stored_body;  // with the claim, for replays
    bool is_body_stored = true;
  };

  // The current attempt at one server.
  struct AttemptState {
    std::shared_ptr<HttpCall> call;
    std::optional<ServerReservation> reservation;
    std::size_t body_sent = 0;  // of the buffered body
    bool is_resume = false;
    bool is_mismatched = false;
    bool is_shed = false;
    bool is_stalled = false;
    TimePoint last_progress_at;
    bool has_head = false;
    bool is_waiting_for_caller = false;
  };

  void ReadDeadline();
  void CollectBody();
  void OnBody();
  void AcquireToken();
  void ClaimIdempotencyKey();
  void OnClaim(const ClaimResult& result);
  void ReserveServer();
  void OnReservation(std::optional<ServerReservation> reservation);
  std::optional<ErrorResponse> FindReasonNotToSend();
  void SendAttempt(const ServerReservation& reservation);
  ForwardingOptions MakeForwarding(const ServerReservation& reservation) const;
  BodyChunk ReadBody(char* buffer, std::size_t capacity);
  void OnHead(int status, const HeaderList& headers);
  void OnResumedHead(int status, const HeaderList& headers);
  bool OnData(std::string_view data);
  void OnDone(const CallResult& result);
  void EndAttempt(AttemptResult attempt_result);
  void ApplyNextStep(NextStep step, AttemptResult attempt_result);
  void Retry();
  void Resume();
  void StartResponse();
  void FinishResponse();
  void CheckTimeouts();
  void OnCallerWritable();
  void OnCallerDisconnected();
  void RespondError(ErrorResponse error_response);
  void RespondRateLimited(const TokenResult& result);
  void RespondFromClaim(const Claim& claim);
  void RespondUnknown(const std::string& reason);
  void CancelPendingWork(AttemptEvidence evidence);
  void CompleteClaim(ClaimState state);
  void CountOutcome(ServedOutcome outcome);
  void Close();
  bool is_at_most_once() const { return !this->request_class.is_idempotent; }
  AttemptEvidence EvidenceOf(AttemptResult attempt_result) const;

  RequestDependencies dependencies;
  EntryContext& context;
  std::shared_ptr<ServerExchange> exchange;
  RouteMatch route;
  RequestClass request_class;
  Workspace workspace;
  CallerIdentity caller;
  std::string request_id;
  std::string claim_digest;  // "" if the request has no claim
  bool has_idempotency_key = false;
  TimePoint started_at;
  TimePoint deadline;
  std::string buffered_body;  // the first part, kept for retries
  bool is_body_buffered = false;
  bool has_collected_body = false;
  std::uint64_t token_request_id = 0;
  std::uint64_t queue_entry_id = 0;
  long attempts = 0;
  bool was_sent = false;
  bool is_closed = false;
  std::vector<std::string> failed_servers;
  AttemptState attempt;
  ResponseState response;
  Timer timeout_timer;
  // Keeps this object alive while the exchange may call its handlers.
  std::shared_ptr<ProxiedRequest> self;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_PROXIED_REQUEST_H_
