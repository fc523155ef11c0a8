#ifndef PARSLEYQUAY_GATEWAY_GATEWAY_H_
#define PARSLEYQUAY_GATEWAY_GATEWAY_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "event/loop_stall_detector.h"
#include "gateway/admission_controller.h"
#include "gateway/configuration_sharing.h"
#include "gateway/configuration_watcher.h"
#include "gateway/dissemination_agent.h"
#include "gateway/gateway_context.h"
#include "gateway/load_balancer.h"
#include "gateway/proxied_request.h"
#include "gateway/retry_budgets.h"
#include "gateway/rollout_controller.h"
#include "gateway/server_discovery.h"
#include "gateway/workspace_rate_limiter.h"
#include "http/http_server.h"

namespace parsleyquay {

// One instance of the fleet. It proxies client requests to backend servers and
// enforces fleet-wide limits together with the other instances.
class Gateway {
 public:
  // Listens on the addresses in `settings`, starts reading from the store and
  // joins the fleet. Returns an error if an address cannot be listened on.
  static Result<std::unique_ptr<Gateway>> Create(EventLoop& loop,
                                                 HttpClient& http,
                                                 GatewaySettings settings,
                                                 CoordinationStore coordination,
                                                 WireProtocol protocol);

  // Shuts down gracefully: announces that this instance leaves the fleet, so
  // that clients are no longer directed to it. Still accepts connections for
  // the first part of the grace period, then completes the remaining requests
  // and stops the event loop. Further calls have no effect.
  void BeginShutdown();

  // Applies the fleet limits ([bounds]) of reloaded settings. Changes of other
  // settings, such as the addresses, need a restart.
  void UpdateSettings(const GatewaySettings& settings);

 private:
  Gateway(EventLoop& loop,
          HttpClient& http,
          GatewaySettings settings,
          CoordinationStore coordination,
          WireProtocol protocol);
  Result<void> Start();
  DisseminationAgent::Handlers MakeDisseminationHandlers();
  void OnClientsClosed(ClosureReason reason,
                       std::size_t count,
                       const ClientUsage& usage);
  void ApplyClientTimeouts();
  void FillStoreNews(Digest& digest);
  void ForwardFeedRead();
  bool IsEarlierReader(const std::string& member) const;
  void UpdateReadOrder();
  RequestDependencies MakeRequestDependencies();
  void OnRequest(std::shared_ptr<ServerExchange> exchange);
  void OnReadinessProbe(ServerExchange& exchange);
  void OnAddressQuery(ServerExchange& exchange);
  void OnMetricsRequest(ServerExchange& exchange);
  void OnDigest(const Digest& digest);
  void OnRoleChange(const AggregationRole& role);
  void OnLoopStall(const LoopStall& stall);
  void CheckDrained();
  bool is_ready() const;
  bool is_isolated() const;

  GatewayContext context;
  DisseminationAgent dissemination;
  ServerDiscovery server_discovery;
  RolloutController rollout_controller;
  LoadBalancer load_balancer;
  WorkspaceRateLimiter rate_limiter;
  ConfigurationWatcher configuration_watcher;
  RetryBudgets retry_budgets;
  ConfigurationSharing configuration_sharing;
  ClientBudget client_budget;
  AdmissionController admission;
  std::unique_ptr<HttpServer> request_server;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> address_query_server;
  std::unique_ptr<HttpServer> metrics_server;
  Timer flush_timer;
  LoopStallDetector loop_stall_detector;
  Timer drain_timer;
  std::optional<TimePoint> shutdown_began_at;
  bool has_stopped_listening = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_GATEWAY_H_
