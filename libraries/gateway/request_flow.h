#ifndef PARSLEYQUAY_GATEWAY_REQUEST_FLOW_H_
#define PARSLEYQUAY_GATEWAY_REQUEST_FLOW_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/allowance_desk.h"
#include "gateway/gateway_context.h"
#include "gateway/refusal.h"
#include "gateway/server_desk.h"
#include "http/server_exchange.h"
#include "retry/attempt_outcome.h"
#include "retry/fleet_retry_budget.h"

namespace parsleyquay {

// The components of the instance that a request uses.
struct RequestParts {
  GatewayContext& context;
  AllowanceDesk& rate_limiter;
  ServerDesk& load_balancer;
  std::map<std::string, FleetRetryBudget>& retry_budgets;  // by service

  RetryBound retry_bound() const {
    const FleetBounds& bounds = this->context.settings.bounds;
    return {bounds.retry_ratio, bounds.retry_slack, bounds.retry_window};
  }

  // This instance's rank among the members, which determines its share of the
  // fleet's retries.
  FleetPlace fleet_place() const {
    return {RankOfMember(this->context.members, this->context.settings.name),
            this->context.member_count()};
  }
};

// One client request that is proxied to a backend server. It is validated,
// passes the rate limiter, and is sent to one server after the other until a
// response can be sent to the client.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  RequestFlow(RequestParts dependencies,
              std::shared_ptr<ServerExchange> exchange);
  ~RequestFlow();

  // Begins to process the request. The object keeps itself alive until the
  // exchange with the client has ended.
  void Start();

 private:
  // The attempt at one server.
  struct Attempt {
    std::shared_ptr<HttpCall> call;
    ServerLease reservation;
    std::size_t body_bytes_sent = 0;  // of the buffered part of the body
    int status = 0;
    HeaderList headers;
    // The response body, until it is complete or exceeds the buffer limit.
    std::string buffered_response;
    // Body bytes received after headers that show a failure.
    std::size_t failed_response_bytes = 0;
    std::optional<AttemptEnd> failure;  // found in the response headers
    bool is_overdue = false;  // no response within the route's latency target
    std::optional<ReportedLoad> load;
  };

  bool CheckHead();
  bool FindWorkspace();
  void ComputeDeadline();
  void BufferBody();
  void RequestRateLimitToken();
  void OnRateLimitDecision(const AllowanceVerdict& decision);
  ServerWish MakeSelectionCriteria() const;
  void SendToAnyServer();
  void Send(ServerLease reservation);
  CallRequest MakeCall() const;
  BodyChunk ReadBody(char* buffer, std::size_t capacity);
  void OnHead(int status, const HeaderList& headers);
  std::optional<AttemptEnd> FindFailure() const;
  bool OnData(std::string_view data);
  void OnDataOfFailedResponse(std::string_view data);
  void OnDone(const CallResult& result);
  void EndAttempt(AttemptEnd end);
  void ReleaseServer(std::optional<Outcome> outcome);
  std::optional<Outcome> OutcomeOf(AttemptEnd end) const;
  NextStep ChooseStep(AttemptEnd end);
  void ExecuteStep(AttemptEnd end, NextStep step);
  void BeginResponse(std::optional<std::uint64_t> length);
  void DeliverResponse();
  void OnTimer();
  void StartTimer();
  void OnOverdue();
  bool MayRetry(AttemptEnd end) const;
  bool MaySendAgain(AttemptEnd end, std::size_t tried_servers) const;
  void OnClientWritable();
  void OnClientDisconnected();
  void RespondWithError(const Refusal& error);
  void LogAttempt(std::string_view outcome) const;
  void Close(std::string_view outcome, int status);
  Duration time_left() const;
  const HostRoute& route() const { return *this->matched_route; }

  RequestParts dependencies;
  GatewayContext& context;
  std::shared_ptr<ServerExchange> exchange;
  std::shared_ptr<const RoutingTable> routing;  // owns the matched route
  const HostRoute* matched_route = nullptr;
  std::string request_id;
  std::string workspace;
  std::string service;
  TimePoint started_at;
  TimePoint deadline;
  std::string body;  // the first part, buffered so that it can be sent again
  bool is_body_complete = false;   // the buffer holds the whole body
  bool has_buffered_body = false;  // the body is complete or the buffer is full
  std::set<std::string> tried;     // servers
  std::size_t unreachable_count = 0;  // of the tried servers
  bool may_have_executed = false;
  bool has_begun_response = false;
  bool is_closed = false;
  AllowanceSource rate_limit_source = AllowanceSource::kNoLimit;
  Attempt attempt;
  Timer timer;
  // Keeps this object alive while the exchange may call its handlers.
  std::shared_ptr<RequestFlow> self;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_REQUEST_FLOW_H_
