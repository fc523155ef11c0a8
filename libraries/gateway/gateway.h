#ifndef PARSLEYQUAY_GATEWAY_GATEWAY_H_
#define PARSLEYQUAY_GATEWAY_GATEWAY_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "event/loop_watch.h"
#include "gateway/allowance_desk.h"
#include "gateway/configuration_desk.h"
#include "gateway/gateway_context.h"
#include "gateway/mesh_agent.h"
#include "gateway/server_desk.h"
#include "gateway/server_list.h"
#include "http/http_server.h"
#include "retry/fleet_retry_budget.h"

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
                                                 CoordinationPort port,
                                                 Dialect dialect);

  // Shuts down gracefully: announces that this instance leaves the fleet, so
  // that clients are no longer directed to it, serves connections that still
  // arrive for a part of the grace period, completes the requests and stops the
  // event loop. Further calls have no effect.
  void BeginLeaving();

  // Applies the fleet limits ([bounds]) of reloaded settings. Changes of other
  // settings, such as the addresses, need a restart.
  void UpdateSettings(const GatewaySettings& settings);

 private:
  Gateway(EventLoop& loop,
          HttpClient& http,
          GatewaySettings settings,
          CoordinationPort port,
          Dialect dialect);
  Result<void> Start();
  MeshAgent::Handlers MakeMeshHandlers();
  void OnRequest(std::shared_ptr<ServerExchange> exchange);
  void OnReadinessProbe(ServerExchange& exchange);
  void OnAddressQuery(ServerExchange& exchange);
  void OnMetricsRequest(ServerExchange& exchange);
  void OnDigest(const Digest& digest);
  void OnRoleChange(const MeshRole& role);
  void OnLoopStall(const LoopHold& stall);
  void CheckDrained();
  bool is_ready() const;
  bool is_isolated() const;

  GatewayContext context;
  MeshAgent state_exchange;
  ServerList server_discovery;
  ServerDesk load_balancer;
  AllowanceDesk rate_limiter;
  ConfigurationDesk configuration_watcher;
  std::map<std::string, FleetRetryBudget> retry_budgets;  // by service
  std::unique_ptr<HttpServer> request_server;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> directory_server;
  std::unique_ptr<HttpServer> metrics_server;
  Timer flush_timer;
  LoopWatch loop_watch;
  Timer drain_timer;
  std::optional<TimePoint> shutdown_began_at;
  bool has_stopped_listening = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_GATEWAY_H_
