#ifndef PARSLEYQUAY_GATEWAY_PROXIED_REQUEST_H_
#define PARSLEYQUAY_GATEWAY_PROXIED_REQUEST_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/admission_controller.h"
#include "gateway/error_response.h"
#include "gateway/gateway_context.h"
#include "gateway/load_balancer.h"
#include "gateway/retry_budgets.h"
#include "gateway/workspace_rate_limiter.h"
#include "http/message_framing.h"
#include "http/server_exchange.h"
#include "retry/attempt_outcome.h"

namespace parsleyquay {

// A server has received a request that expects another server at its address.
constexpr int kMisdirectedStatus = 421;

// The components of the instance that a request uses.
struct RequestDependencies {
  GatewayContext& context;
  WorkspaceRateLimiter& rate_limiter;
  LoadBalancer& load_balancer;
  RetryBudgets& retry_budgets;
  AdmissionController& admission;
};

// One client request that is proxied to a backend server. It is validated,
// passes the rate limiter, and is sent to one server after the other until a
// response can be sent to the client.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
 public:
  ProxiedRequest(RequestDependencies dependencies,
                 std::shared_ptr<ServerExchange> exchange);
  ~ProxiedRequest();

  // Begins to process the request. The object keeps itself alive until the
  // exchange with the client has ended.
  void Start();

  // Ends the request in time before the instance exits. Called when a graceful
  // shutdown begins.
  void OnShutdown();

 private:
  // The attempt at one server.
  struct Attempt {
    std::shared_ptr<HttpCall> call;
    ServerReservation reservation;
    std::size_t body_bytes_sent = 0;  // of the buffered part of the body
    int status = 0;
    bool has_received_data = false;  // of the response body
    HeaderList headers;
    // The response body, until it is complete or exceeds the buffer limit.
    std::string buffered_response;
    // Body bytes received after headers that show a failure.
    std::size_t failed_response_bytes = 0;
    std::optional<AttemptResult> failure;      // found in the response headers
    std::string failure_reason;                // why a response was discarded
    std::optional<CallConnection> connection;  // unset: none was ready
    bool is_withdrawn = false;  // the server left before anything was sent
    bool is_overdue = false;    // no response within the route's latency target
    std::optional<ReportedLoad> load;
  };

  bool CheckHead();
  bool FindWorkspace();
  void ComputeDeadline();
  void BufferBody();
  void UpdateHeldBytes();
  void RequestToken();
  void OnRateLimitDecision(const RateLimitDecision& decision);
  bool CanEndBeforeShutdown() const;
  bool RejectIfLeaving();
  void RejectForMemory();
  ServerSelectionCriteria MakeSelectionCriteria() const;
  void SendToAnyServer();
  void SendToAvailableServer();
  bool is_subject_to_admission() const;
  int priority() const;
  AdmissionRequest MakeAdmissionRequest() const;
  TimePoint AdmissionDeadline() const;
  void RequestAdmission();
  void OnAdmitted();
  void OnNotAdmitted(Duration retry_after);
  void CancelAdmission();
  void Send(ServerReservation reservation);
  CallRequest MakeCall() const;
  BodyChunk ReadBody(char* buffer, std::size_t capacity);
  bool MaySend(const CallConnection& connection);
  bool is_body_relayed() const;
  void OnHead(int status, const HeaderList& headers);
  void FindFailure();
  void RecordFailure(AttemptResult failure, std::string_view reason);
  bool OnData(std::string_view data);
  void OnDataOfFailedResponse(std::string_view data);
  void OnDone(const CallResult& result);
  void EndAttempt(AttemptResult attempt_result);
  void PauseServerIfAsked();
  void ReleaseServer(std::optional<ServerOutcome> outcome);
  std::optional<ServerOutcome> OutcomeOf(AttemptResult attempt_result) const;
  NextStep ChooseStep(AttemptResult attempt_result);
  void ExecuteStep(AttemptResult attempt_result, NextStep step);
  void BeginResponse(std::optional<std::uint64_t> length);
  void DeliverResponse();
  void OnTimer();
  void StartTimer();
  void OnOverdue();
  bool HasServersLeft(AttemptResult attempt_result,
                      std::size_t tried_servers) const;
  bool MayTryAnotherServer(AttemptResult attempt_result) const;
  bool MayTryAnotherServer(AttemptResult attempt_result,
                           std::size_t tried_servers) const;
  void OnClientWritable();
  void OnClientDisconnected();
  void RespondWithError(const ErrorResponse& error);
  void LogAttempt(std::string_view outcome) const;
  void Close(std::string_view outcome, int status);
  Duration time_left() const;
  const HostRoute& route() const { return *this->matched_route; }

  RequestDependencies dependencies;
  GatewayContext& context;
  std::shared_ptr<ServerExchange> exchange;
  std::shared_ptr<const RoutingTable> routing;  // owns the matched route
  const HostRoute* matched_route = nullptr;
  std::string request_id;
  std::string workspace;
  std::string service;
  TimePoint started_at;
  TimePoint deadline;
  MessageFraming framing;
  std::string body;  // the first part, buffered so that it can be sent again
  bool is_body_fully_buffered = false;
  // The body has ended or the buffer is full.
  bool has_finished_buffering = false;
  std::set<std::string> tried;        // servers
  std::size_t unreachable_count = 0;  // of the tried servers
  bool may_have_executed = false;
  // A server has shed the request, and the retry budget has not been spent yet
  // on the next attempt.
  bool owes_retry = false;
  std::uint64_t admission_id = 0;  // not 0 while the request waits
  bool has_response_started = false;
  bool is_closed = false;
  RateLimitSource rate_limit_source = RateLimitSource::kNoLimit;
  Attempt attempt;
  Timer timer;
  // Keeps this object alive while the exchange may call its handlers.
  std::shared_ptr<ProxiedRequest> self;
};

// Returns the size of the request line and the headers.
std::size_t HeadBytes(const ServerExchange& exchange);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_PROXIED_REQUEST_H_
