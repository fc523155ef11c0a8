#ifndef PARSLEYQUAY_GATEWAY_PROXIED_REQUEST_H_
#define PARSLEYQUAY_GATEWAY_PROXIED_REQUEST_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/error_response.h"
#include "gateway/gateway_context.h"
#include "gateway/load_balancer.h"
#include "gateway/workspace_rate_limiter.h"
#include "http/server_exchange.h"
#include "retry/attempt_outcome.h"
#include "retry/fleet_retry_budget.h"

namespace parsleyquay {

// The parts of the instance that a request passes through.
struct RequestDependencies {
  GatewayContext& context;
  WorkspaceRateLimiter& rate_limiter;
  LoadBalancer& load_balancer;
  std::map<std::string, FleetRetryBudget>& retry_budgets;  // by service

  FleetRetryLimit retry_limit() const {
    const FleetBounds& bounds = this->context.settings.bounds;
    return {bounds.retry_ratio, bounds.retry_slack, bounds.retry_window};
  }
  InstanceRank instance_rank() const {
    return {RankOfMember(this->context.members, this->context.settings.name),
            this->context.member_count()};
  }
};

// One request on its way: checked, admitted, placed, sent and answered.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
 public:
  ProxiedRequest(RequestDependencies dependencies,
                 std::shared_ptr<ServerExchange> exchange);
  ~ProxiedRequest();

  void Start();

 private:
  // The attempt at one server.
  struct Attempt {
    std::shared_ptr<HttpCall> call;
    ServerReservation reservation;
    std::size_t body_sent = 0;  // of the held body
    int status = 0;
    HeaderList headers;
    std::string held;              // of the answer, until it is whole or large
    std::size_t faulty_bytes = 0;  // after a head that shows a fault
    std::optional<AttemptResult> fault;  // found in the head
    bool is_overdue = false;
    std::optional<ReportedLoad> load;
  };

  bool CheckHead();
  bool FindWorkspace();
  void ReadDeadline();
  void CollectBody();
  void RequestToken();
  void OnRateLimitDecision(const RateLimitDecision& decision);
  ServerSelectionCriteria MakeSelectionCriteria() const;
  void Place();
  void Send(ServerReservation reservation);
  CallRequest MakeCall() const;
  BodyChunk ReadBody(char* buffer, std::size_t capacity);
  void OnHead(int status, const HeaderList& headers);
  std::optional<AttemptResult> FindFault() const;
  bool OnData(std::string_view data);
  void TakeFaultyData(std::string_view data);
  void OnDone(const CallResult& result);
  void EndAttempt(AttemptResult attempt_result);
  void ReleaseServer(std::optional<ServerOutcome> outcome);
  std::optional<ServerOutcome> OutcomeOf(AttemptResult attempt_result) const;
  NextStep DecideNext(AttemptResult attempt_result);
  void TakeStep(AttemptResult attempt_result, NextStep step);
  void BeginAnswer(std::optional<std::uint64_t> length);
  void DeliverAnswer();
  void OnTimer();
  void StartTimer();
  void OnOverdue();
  bool MayRetry(AttemptResult attempt_result) const;
  bool MaySendAgain(AttemptResult attempt_result,
                    std::size_t tried_servers) const;
  void OnCallerReady();
  void OnCallerGone();
  void Refuse(const ErrorResponse& error_response);
  void LogAttempt(std::string_view outcome) const;
  void Close(std::string_view outcome, int status);
  Duration time_left() const;
  const HostRoute& route() const { return *this->matched_route; }

  RequestDependencies dependencies;
  GatewayContext& context;
  std::shared_ptr<ServerExchange> exchange;
  std::shared_ptr<const RoutingTable> routing;  // keeps the route
  const HostRoute* matched_route = nullptr;
  std::string request_id;
  std::string workspace;
  std::string service;
  TimePoint started_at;
  TimePoint deadline;
  std::string body;  // the first part, held to be sent again
  bool is_body_held_whole = false;
  bool is_body_collected = false;
  std::set<std::string> tried;
  std::size_t unreached = 0;  // of those tried
  bool may_have_run = false;
  bool has_response_started = false;
  bool is_closed = false;
  RateLimitSource rate_limit_source = RateLimitSource::kNoLimit;
  Attempt attempt;
  Timer timer;
  // Keeps the flow while a callback of the exchange may come.
  std::shared_ptr<ProxiedRequest> self;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_PROXIED_REQUEST_H_
