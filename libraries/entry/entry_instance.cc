#include "entry/entry_instance.h"

#include "base/random_id.h"
#include "http/request_target.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(250);
constexpr Duration kShutdownCheckInterval = milliseconds(250);
constexpr Duration kIdleConnectionTimeout = seconds(1);
constexpr Duration kLeaveTimeout = seconds(3);
constexpr std::size_t kIdBytes = 8;
// Number of requests in progress that counts as a load of 100 %.
constexpr std::size_t kFullLoadRequests = 400;
constexpr long kPermille = 1'000;

const std::vector<std::string>& PeerMethods() {
  static const std::vector<std::string> methods = {
      "gossip", "probe",  "alive",   "borrow",  "grant",
      "claim",  "report", "verdict", "claimed", "handover"};
  return methods;
}

}  // namespace

EntryInstance::EntryInstance(EventLoop& loop, EntrySettings settings)
    : context(loop, std::move(settings)),
      log(this->context, [this] { this->OnFleetChanged(); }),
      members(this->context, this->log),
      snapshots(this->context, this->log),
      gap_recovery(this->context, this->log),
      rate_limiter(this->context),
      claims(this->context),
      pool(this->context),
      queue(this->context, this->pool),
      health(this->context,
             this->pool,
             [this](const std::string& service) {
               this->queue.Dispatch(service);
             }),
      system_endpoints(this->context, this->log, this->claims, this->pool),
      routes(Declaration{}),
      tick_timer(loop, [this] { this->OnTick(); }),
      shutdown_timer(loop, [this] { this->FinishShutdownIfIdle(); }) {}

Result<std::unique_ptr<EntryInstance>> EntryInstance::Create(
    EventLoop& loop,
    EntrySettings settings) {
  std::unique_ptr<EntryInstance> instance(
      new EntryInstance(loop, std::move(settings)));
  BOOST_LEAF_CHECK(instance->Start());
  return instance;
}

Result<void> EntryInstance::Start() {
  const EntrySettings& settings = this->context.settings;
  BOOST_LEAF_ASSIGN(
      this->context.peer_transport,
      PeerTransport::Create(
          this->context.loop, settings.peer_address, settings.fleet_key,
          PeerMethods(),
          [this](const std::string& method, const Json::Value& parameters) {
            this->OnMessage(method, parameters);
          }));
  BOOST_LEAF_ASSIGN(
      this->server,
      HttpServer::Create(this->context.loop, settings.http_address,
                         [this](std::shared_ptr<ServerExchange> exchange) {
                           this->OnRequest(std::move(exchange));
                         }));
  this->log.Start();
  this->members.Start();
  this->snapshots.Start();
  this->gap_recovery.Start();
  this->rate_limiter.Start();
  this->claims.Start();
  this->pool.Start();
  this->queue.Start();
  this->health.Start();
  this->tick_timer.StartRepeating(kTickInterval);
  LogEvent(LogLevel::kInfo, "started",
           {{"http", settings.http_address},
            {"peer", settings.peer_address},
            {"failure_domain", settings.failure_domain}});
  return {};
}

void EntryInstance::OnTick() {
  const std::size_t active = this->context.active_requests;
  this->context.membership.load_permille = static_cast<long>(active) *
                                           kPermille /
                                           static_cast<long>(kFullLoadRequests);
}

void EntryInstance::OnFleetChanged() {
  this->members.OnFleetChanged();
  this->rate_limiter.OnFleetChanged();
  this->pool.OnFleetChanged();
  const auto& routes = this->context.fleet.declaration.routes;
  if (routes != this->routed_declaration.routes) {
    this->routed_declaration.routes = routes;
    this->routes = RouteTable(this->routed_declaration);
  }
}

void EntryInstance::OnRequest(std::shared_ptr<ServerExchange> exchange) {
  if (SystemEndpoints::IsSystemTarget(exchange->target())) {
    this->system_endpoints.Serve(exchange);
    return;
  }
  if (!IsRequestTarget(exchange->target())) {
    exchange->Respond(400, {{"Content-Type", "application/json"}},
                      RenderErrorBody({400, RequestOutcome::kNotExecuted,
                                       "malformed_request", false}));
    return;
  }
  const std::optional<RouteMatch> route =
      this->routes.FindRoute(exchange->target());
  if (!route) {
    exchange->Respond(404, {{"Content-Type", "application/json"}},
                      RenderErrorBody({404, RequestOutcome::kNotExecuted,
                                       "no_such_route", false}));
    return;
  }
  RequestDependencies dependencies{
      this->context,
      this->rate_limiter,
      this->claims,
      this->queue,
      this->pool,
      this->health,
      this->retry_budgets,
      [this](const std::string& workspace) {
        return this->system_endpoints.AlternativeAddresses(workspace);
      }};
  std::make_shared<ProxiedRequest>(std::move(dependencies), std::move(exchange),
                                   *route)
      ->Start();
}

void EntryInstance::OnMessage(const std::string& method,
                              const Json::Value& parameters) {
  if (method == "gossip") {
    this->members.OnGossip(parameters);
  } else if (method == "probe") {
    this->members.OnProbeRequest(parameters);
  } else if (method == "alive") {
    this->members.OnProbeSuccess(parameters);
  } else if (method == "borrow") {
    this->rate_limiter.OnBorrowRequest(parameters);
  } else if (method == "grant") {
    this->rate_limiter.OnBorrowReply(parameters);
  } else if (method == "handover") {
    this->rate_limiter.OnHandover(parameters);
  } else if (method == "claim") {
    this->claims.OnRequest(parameters);
  } else if (method == "claimed") {
    this->claims.OnReply(parameters);
  } else if (method == "report") {
    this->health.OnReport(parameters);
  } else if (method == "verdict") {
    this->health.OnVerdict(parameters);
  }
}

void EntryInstance::BeginShutdown() {
  if (this->context.is_leaving) {
    return;
  }
  LogEvent(LogLevel::kInfo, "leaving",
           {{"active", std::to_string(this->context.active_requests)}});
  this->context.is_leaving = true;
  this->server->DisableKeepAlive();
  this->members.AnnounceShutdown();
  this->shutdown_timer.StartOnce(this->context.settings.shutdown_delay);
}

// Runs when the shutdown delay is over, and then repeatedly. With the default
// delay, every resolve response with this instance's address has expired by
// then. Stops accepting connections, waits for the open requests, then leaves
// the fleet. Stops the loop if leaving takes longer than kLeaveTimeout.
void EntryInstance::FinishShutdownIfIdle() {
  const TimePoint now = this->context.Now();
  if (!this->stopped_listening_at) {
    this->server->StopListening();
    this->stopped_listening_at = now;
  }
  // An open connection may still carry a request that has not been read. Idle
  // connections are waited for only until kIdleConnectionTimeout has passed.
  const bool may_receive_request =
      this->server->open_connections() > 0 &&
      now - *this->stopped_listening_at < kIdleConnectionTimeout;
  const bool has_requests =
      this->server->open_exchanges() > 0 || this->context.active_requests > 0;
  if (has_requests || may_receive_request) {
    LogEvent(LogLevel::kInfo, "finishing_requests",
             {{"exchanges", std::to_string(this->server->open_exchanges())},
              {"active", std::to_string(this->context.active_requests)}});
    this->shutdown_timer.StartOnce(kShutdownCheckInterval);
    return;
  }
  if (!this->is_leaving_fleet) {
    this->LeaveFleet();
    return;
  }
  this->context.loop.Stop();
}

void EntryInstance::LeaveFleet() {
  this->is_leaving_fleet = true;
  this->shutdown_timer.StartOnce(kLeaveTimeout);
  if (!this->context.membership.is_member) {
    this->context.loop.Stop();
    return;
  }
  this->rate_limiter.HandOverShards();
  this->claims.HandOverClaims();
  const MemberDeparture departure{this->context.settings.name,
                                  this->context.incarnation,
                                  DepartureReason::kReleased};
  this->log.AppendUntilApplied(
      {RandomHex(kIdBytes), this->context.settings.name, departure}, [this] {
        LogEvent(LogLevel::kInfo, "released");
        this->context.loop.Stop();
      });
}

}  // namespace parsleyquay
