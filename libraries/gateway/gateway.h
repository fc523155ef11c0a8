#ifndef PARSLEYQUAY_GATEWAY_GATEWAY_H_
#define PARSLEYQUAY_GATEWAY_GATEWAY_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "event/loop_stall_detector.h"
#include "gateway/configuration_watcher.h"
#include "gateway/dissemination_agent.h"
#include "gateway/gateway_context.h"
#include "gateway/load_balancer.h"
#include "gateway/server_discovery.h"
#include "gateway/workspace_rate_limiter.h"
#include "http/http_server.h"
#include "retry/fleet_retry_budget.h"

namespace parsleyquay {

// One instance of the fleet: serves callers' requests from backend servers,
// and keeps the fleet's bounds together with the other instances.
class Gateway {
 public:
  static Result<std::unique_ptr<Gateway>> Create(EventLoop& loop,
                                                 HttpClient& http,
                                                 GatewaySettings settings,
                                                 CoordinationStore coordination,
                                                 WireProtocol protocol);

  // Leaves in order: is no longer named to callers, serves those that still
  // come, finishes every request and stops the loop.
  void BeginShutdown();

  // Takes over bounds that have changed. What is listened on stays.
  void UpdateSettings(const GatewaySettings& settings);

 private:
  Gateway(EventLoop& loop,
          HttpClient& http,
          GatewaySettings settings,
          CoordinationStore coordination,
          WireProtocol protocol);
  Result<void> Start();
  DisseminationAgent::Handlers MakeDisseminationHandlers();
  void OnRequest(std::shared_ptr<ServerExchange> exchange);
  void OnReadinessProbe(ServerExchange& exchange);
  void OnAddressQuery(ServerExchange& exchange);
  void OnMetricsQuery(ServerExchange& exchange);
  void OnDigest(const Digest& digest);
  void OnRole(const AggregationRole& role);
  void OnLoopStall(const LoopStall& stall);
  void CheckFinished();
  bool is_ready() const;
  bool is_isolated() const;

  GatewayContext context;
  DisseminationAgent dissemination;
  ServerDiscovery discovery;
  LoadBalancer load_balancer;
  WorkspaceRateLimiter rate_limiter;
  ConfigurationWatcher configuration;
  std::map<std::string, FleetRetryBudget> retry_budgets;
  std::unique_ptr<HttpServer> request_server;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> directory_server;
  std::unique_ptr<HttpServer> metrics_server;
  Timer flush_timer;
  LoopStallDetector loop_stall_detector;
  Timer leave_timer;
  std::optional<TimePoint> leaving_since;
  bool has_stopped_listening = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_GATEWAY_H_
