#ifndef PARSLEYQUAY_ENTRY_ENTRY_INSTANCE_H_
#define PARSLEYQUAY_ENTRY_ENTRY_INSTANCE_H_

#include <map>
#include <memory>
#include <optional>

#include "declaration/route_table.h"
#include "entry/claim_coordinator.h"
#include "entry/entry_context.h"
#include "entry/fleet_log_replica.h"
#include "entry/health_coordinator.h"
#include "entry/log_gap_recovery.h"
#include "entry/membership_manager.h"
#include "entry/proxied_request.h"
#include "entry/request_queue.h"
#include "entry/server_pool.h"
#include "entry/snapshot_scheduler.h"
#include "entry/system_endpoints.h"
#include "entry/workspace_rate_limiter.h"
#include "http/http_server.h"

namespace parsleyquay {

// One entry instance. It accepts callers' requests, forwards them to backend
// servers and, together with the other instances, enforces the workspaces' rate
// limits, idempotency keys and the ejection of faulty backend servers.
class EntryInstance {
 public:
  static Result<std::unique_ptr<EntryInstance>> Create(EventLoop& loop,
                                                       EntrySettings settings);

  // Shuts down gracefully: its address is no longer given to callers, requests
  // are accepted for the configured delay, all open requests are finished, the
  // state owned here is handed over, and the event loop is stopped.
  void BeginShutdown();

 private:
  EntryInstance(EventLoop& loop, EntrySettings settings);
  Result<void> Start();
  void OnRequest(std::shared_ptr<ServerExchange> exchange);
  void OnMessage(const std::string& method, const Json::Value& parameters);
  void OnFleetChanged();
  void OnTick();
  void FinishShutdownIfIdle();
  void LeaveFleet();

  EntryContext context;
  FleetLogReplica log;
  MembershipManager members;
  SnapshotScheduler snapshots;
  LogGapRecovery gap_recovery;
  WorkspaceRateLimiter rate_limiter;
  ClaimCoordinator claims;
  ServerPool pool;
  RequestQueue queue;
  HealthCoordinator health;
  SystemEndpoints system_endpoints;
  RouteTable routes;
  Declaration routed_declaration;
  std::map<BurnKey, LocalRetryBudget> retry_budgets;
  std::unique_ptr<HttpServer> server;  // its destructor ends the requests
  Timer tick_timer;
  Timer shutdown_timer;
  std::optional<TimePoint> stopped_listening_at;
  bool is_leaving_fleet = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_ENTRY_INSTANCE_H_
