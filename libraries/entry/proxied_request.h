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

// The parts of the instance that a request passes through.
struct RequestDependencies {
  EntryContext& context;
  WorkspaceRateLimiter& rate_limiter;
  ClaimCoordinator& claims;
  RequestQueue& queue;
  ServerPool& pool;
  HealthCoordinator& health;
  std::map<BurnKey, LocalRetryBudget>& retry_budgets;
  // Other instances that a refused caller may turn to.
  std::function<std::vector<std::string>(const std::string& workspace)>
      other_addresses;
};

// One request on its way: admitted, claimed, placed, sent and answered.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
 public:
  ProxiedRequest(RequestDependencies dependencies,
                 std::shared_ptr<ServerExchange> exchange,
                 RouteMatch route);
  ~ProxiedRequest();

  void Start();

 private:
  // The answer so far, of all attempts together.
  struct AnswerState {
    bool has_begun = false;  // bytes were handed to the caller
    int status = 0;
    HeaderList headers;
    std::string held;  // kept back until whole or large
    std::uint64_t received = 0;
    std::optional<std::uint64_t> length;
    std::string entity_tag;
    bool can_resume = false;
    std::string kept_body;  // for a repeated request
    bool is_body_kept = true;
  };

  // The attempt at one server.
  struct AttemptState {
    std::shared_ptr<HttpCall> call;
    std::optional<ServerReservation> reservation;
    std::size_t body_sent = 0;  // of the held body
    bool is_resume = false;
    bool is_wrong = false;
    bool is_shed = false;
    bool is_stalled = false;
    TimePoint progress_at;
    bool has_head = false;
    bool is_waiting_for_caller = false;
  };

  void ReadDeadline();
  void CollectBody();
  void OnBody();
  void AcquireToken();
  void ClaimKey();
  void OnClaim(const ClaimResult& result);
  void WaitForReservation();
  void OnReservation(std::optional<ServerReservation> reservation);
  std::optional<ErrorResponse> FindReasonNotToSend();
  void Send(const ServerReservation& reservation);
  ForwardingOptions DescribeForwarding(
      const ServerReservation& reservation) const;
  BodyChunk ReadBody(char* buffer, std::size_t capacity);
  void OnHead(int status, const HeaderList& headers);
  void OnResumedHead(int status, const HeaderList& headers);
  bool OnData(std::string_view data);
  void OnDone(const CallResult& result);
  void EndAttempt(AttemptResult attempt_result);
  void TakeStep(NextStep step, AttemptResult attempt_result);
  void Retry();
  void Resume();
  void BeginAnswer();
  void FinishAnswer();
  void OnWatch();
  void OnCallerReady();
  void OnCallerGone();
  void Refuse(ErrorResponse error_response);
  void RefuseOverLimit(const TokenResult& result);
  void ReplayClaim(const Claim& claim);
  void AnswerUnknown(const std::string& reason);
  void CancelAttempt(AttemptEvidence evidence);
  void CompleteClaim(ClaimState state);
  void CountOutcome(ServedOutcome outcome);
  void Close();
  bool may_run_once() const { return !this->request_class.is_idempotent; }
  AttemptEvidence EvidenceOf(AttemptResult attempt_result) const;

  RequestDependencies dependencies;
  EntryContext& context;
  std::shared_ptr<ServerExchange> exchange;
  RouteMatch route;
  RequestClass request_class;
  Workspace workspace;
  CallerIdentity caller;
  std::string request_id;
  std::string claim_digest;  // "" when the request has no claim
  bool has_idempotency_key = false;
  TimePoint started_at;
  TimePoint deadline;
  std::string body;  // the first part, held to be sent again
  bool is_body_held_whole = false;
  bool is_body_collected = false;
  std::uint64_t token_wait = 0;
  std::uint64_t reservation_wait = 0;
  long attempts = 0;
  bool was_sent = false;
  bool is_closed = false;
  std::vector<std::string> failed_servers;
  AttemptState attempt;
  AnswerState answer;
  Timer watch_timer;
  // Keeps the flow while a callback of the exchange may come.
  std::shared_ptr<ProxiedRequest> self;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_PROXIED_REQUEST_H_
