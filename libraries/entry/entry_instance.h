#ifndef PARSLEYQUAY_ENTRY_ENTRY_INSTANCE_H_
#define PARSLEYQUAY_ENTRY_ENTRY_INSTANCE_H_

#include <map>
#include <memory>
#include <optional>

#include "declaration/route_table.h"
#include "entry/claim_desk.h"
#include "entry/entry_context.h"
#include "entry/gap_closer.h"
#include "entry/health_desk.h"
#include "entry/log_follower.h"
#include "entry/member_agent.h"
#include "entry/request_flow.h"
#include "entry/server_pool.h"
#include "entry/service_queue.h"
#include "entry/snapshot_keeper.h"
#include "entry/system_routes.h"
#include "entry/token_desk.h"
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
  void BeginLeaving();

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
  LogFollower log;
  MemberAgent members;
  SnapshotKeeper snapshots;
  GapCloser gap_recovery;
  TokenDesk tokens;
  ClaimDesk claims;
  ServerPool pool;
  ServiceQueue queue;
  HealthDesk health;
  SystemRoutes system_routes;
  std::unique_ptr<HttpServer> server;
  RouteTable routes;
  Declaration routed_declaration;
  std::map<BurnKey, RetryBudget> retry_budgets;
  Timer tick_timer;
  Timer shutdown_timer;
  std::optional<TimePoint> stopped_listening_at;
  bool is_leaving_fleet = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_ENTRY_INSTANCE_H_
