#include "gateway/gateway.h"

#include <utility>

#include "base/random_id.h"
#include "gateway/address_selection.h"
#include "gateway/proxied_request.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kUnavailableStatus = 503;

constexpr std::size_t kIncarnationBytes = 6;
constexpr Duration kLogFlushInterval = milliseconds(200);

// A quarter of what a change of configuration may take.
constexpr Duration kLongestStall = milliseconds(500);

// Shares of the time between SIGTERM and SIGKILL. Callers keep the addresses
// they know for some seconds, so new connections are accepted for the first
// part; requests under way may use the second.
constexpr double kListenShare = 0.6;
constexpr double kAnswerShare = 0.85;
constexpr double kFinishShare = 0.9;
constexpr Duration kLeaveCheckInterval = milliseconds(50);

Duration ShareOf(Duration duration, double share) {
  return std::chrono::duration_cast<Duration>(duration * share);
}

}  // namespace

Gateway::Gateway(EventLoop& loop,
                 HttpClient& http,
                 GatewaySettings settings,
                 CoordinationStore coordination,
                 WireProtocol protocol)
    : context(loop,
              std::move(settings),
              http,
              std::move(coordination),
              std::move(protocol)),
      dissemination(this->context,
                    WorkspaceRateLimiter::MessageMethods(),
                    this->MakeDisseminationHandlers()),
      discovery(this->context,
                [this](const std::string& server) {
                  this->load_balancer.ResetServer(server);
                }),
      load_balancer(
          this->context,
          this->discovery,
          [this](const OutcomeReport& report) {
            this->dissemination.ReportOutcome(report);
          },
          [this](const std::string& service) {
            this->dissemination.ReportFailedRequest(service);
          }),
      rate_limiter(this->context,
                   [this] { this->dissemination.AnnounceStatus(); }),
      configuration(
          this->context,
          [this] { this->rate_limiter.OnConfigurationChange(); },
          [this](const std::set<std::string>& domains) {
            this->discovery.SetWithdrawnDomains(domains);
          }),
      flush_timer(loop, [] { FlushEventLog(); }),
      loop_stall_detector(
          loop,
          kLongestStall,
          [this](const LoopStall& stall) { this->OnLoopStall(stall); }),
      leave_timer(loop, [this] { this->CheckFinished(); }) {
  this->context.incarnation = RandomHex(kIncarnationBytes);
}

Result<std::unique_ptr<Gateway>> Gateway::Create(EventLoop& loop,
                                                 HttpClient& http,
                                                 GatewaySettings settings,
                                                 CoordinationStore coordination,
                                                 WireProtocol protocol) {
  std::unique_ptr<Gateway> gateway(new Gateway(loop, http, std::move(settings),
                                               std::move(coordination),
                                               std::move(protocol)));
  BOOST_LEAF_CHECK(gateway->Start());
  return gateway;
}

Result<void> Gateway::Start() {
  const GatewaySettings& settings = this->context.settings;
  LogEvent(LogLevel::kInfo, "start",
           {{"incarnation", this->context.incarnation},
            {"failure_domain", settings.failure_domain},
            {"requests", settings.request_address},
            {"store", settings.store_address}});
  BOOST_LEAF_ASSIGN(
      this->request_server,
      HttpServer::Create(this->context.loop, settings.request_address,
                         [this](std::shared_ptr<ServerExchange> exchange) {
                           this->OnRequest(std::move(exchange));
                         }));
  BOOST_LEAF_ASSIGN(
      this->readiness_server,
      HttpServer::Create(
          this->context.loop, settings.readiness_address,
          [this](const std::shared_ptr<ServerExchange>& exchange) {
            this->OnReadinessProbe(*exchange);
          }));
  BOOST_LEAF_ASSIGN(
      this->directory_server,
      HttpServer::Create(
          this->context.loop, settings.directory_address,
          [this](const std::shared_ptr<ServerExchange>& exchange) {
            this->OnAddressQuery(*exchange);
          }));
  BOOST_LEAF_ASSIGN(
      this->metrics_server,
      HttpServer::Create(
          this->context.loop, settings.metrics_address,
          [this](const std::shared_ptr<ServerExchange>& exchange) {
            this->OnMetricsQuery(*exchange);
          }));
  this->configuration.Start();
  this->discovery.Start();
  this->dissemination.Start();
  this->rate_limiter.Start();
  this->flush_timer.StartRepeating(kLogFlushInterval);
  this->loop_stall_detector.Start();
  return {};
}

DisseminationAgent::Handlers Gateway::MakeDisseminationHandlers() {
  return {.on_outcomes =
              [this](const OutcomeSummary& outcomes) {
                this->load_balancer.ApplyOutcomes(outcomes);
              },
          .on_digest = [this](const Digest& digest) { this->OnDigest(digest); },
          .fill_digest =
              [this](Digest& digest) {
                digest.configuration_version =
                    this->context.configuration_version();
                digest.operator_position = this->configuration.position();
                this->discovery.AddChangesToDigest(digest);
              },
          .on_role_change =
              [this](const AggregationRole& role) { this->OnRole(role); },
          .owned_shards = [this] { return this->rate_limiter.OwnedShards(); },
          .on_message =
              [this](const std::string& method, const Json::Value& parameters) {
                this->rate_limiter.OnMessage(method, parameters);
              }};
}

void Gateway::OnRequest(std::shared_ptr<ServerExchange> exchange) {
  std::make_shared<ProxiedRequest>(
      RequestDependencies{this->context, this->rate_limiter,
                          this->load_balancer, this->retry_budgets},
      std::move(exchange))
      ->Start();
}

bool Gateway::is_ready() const {
  return this->context.routing && this->discovery.has_been_loaded() &&
         !this->context.is_leaving;
}

// Whether this instance has lost the store and hears fewer than half of the
// members: then others know better which instances a caller can use.
bool Gateway::is_isolated() const {
  return !IsAtLeastHalfAlive(this->context.members, this->context.Now()) &&
         !this->discovery.is_available() && !this->configuration.is_available();
}

void Gateway::OnReadinessProbe(ServerExchange& exchange) {
  if (!this->context.protocol.is_readiness_probe(exchange.target())) {
    exchange.Respond(kNotFoundStatus, {}, "");
    return;
  }
  exchange.Respond(this->is_ready() ? kOkStatus : kUnavailableStatus, {}, "");
}

void Gateway::OnAddressQuery(ServerExchange& exchange) {
  const auto query =
      this->context.protocol.parse_address_query(exchange.target());
  if (!query) {
    exchange.Respond(kNotFoundStatus, {}, "");
    return;
  }
  const AddressList address_list =
      SelectInstanceAddresses(this->context.members, query->failure_domain,
                              this->context.settings.bounds.address_lifetime,
                              this->context.random(), this->context.Now());
  IncrementCounter(this->context.metrics, "address_answers");
  if (address_list.addresses.empty() || this->is_isolated()) {
    exchange.Respond(kUnavailableStatus, {}, "");
    return;
  }
  exchange.Respond(
      kOkStatus, {{"Content-Type", "application/json"}},
      this->context.protocol.encode_address_response(address_list));
}

void Gateway::OnMetricsQuery(ServerExchange& exchange) {
  GatewayMetrics metrics = this->context.metrics;
  IncrementCounter(metrics, "active_requests", this->context.active_requests);
  IncrementCounter(metrics, "configuration_version",
                   this->context.configuration_version());
  IncrementCounter(metrics, "members_alive",
                   CountAlive(this->context.members, this->context.Now()));
  IncrementCounter(metrics, "servers_listed",
                   this->discovery.roster().servers.size());
  IncrementCounter(metrics, "log_lines_dropped", DroppedLogLines());
  if (this->context.peer_transport) {
    const PeerTrafficCounters& traffic =
        this->context.peer_transport->traffic();
    IncrementCounter(metrics, "peer_messages_sent", traffic.sent_messages);
    IncrementCounter(metrics, "peer_bytes_sent", traffic.sent_bytes);
    IncrementCounter(metrics, "peer_messages_received",
                     traffic.received_messages);
    IncrementCounter(metrics, "peer_messages_rejected",
                     traffic.rejected_messages);
  }
  exchange.Respond(kOkStatus, {{"Content-Type", "text/plain"}},
                   RenderMetrics(metrics));
}

void Gateway::OnDigest(const Digest& digest) {
  this->configuration.OnPeerFeedPosition(digest.operator_position);
  this->discovery.ApplyDigest(digest);
}

void Gateway::OnLoopStall(const LoopStall& stall) {
  IncrementCounter(this->context.metrics, "loop_holds");
  LogEvent(LogLevel::kWarning, "loop_held",
           {{"held_ms", std::to_string(ToMilliseconds(stall.duration))},
            {"processor_ms", std::to_string(ToMilliseconds(stall.cpu_time))}});
}

void Gateway::OnRole(const AggregationRole& role) {
  LogEvent(LogLevel::kInfo, "role",
           {{"aggregator", role.is_aggregator ? "yes" : "no"},
            {"standby", role.is_standby ? "yes" : "no"},
            {"alone", role.is_without_aggregator ? "yes" : "no"}});
  const bool reads_itself = role.is_aggregator || role.is_without_aggregator;
  this->discovery.SetSource(reads_itself ? ServerListSource::kStore
                                         : ServerListSource::kPeers);
  this->configuration.SetFrequentReads(role.is_aggregator);
}

void Gateway::UpdateSettings(const GatewaySettings& settings) {
  const FleetBounds before = this->context.settings.bounds;
  this->context.settings.bounds = settings.bounds;
  GatewaySettings rest = settings;
  rest.bounds = before;
  GatewaySettings own = this->context.settings;
  own.bounds = before;
  LogEvent(LogLevel::kInfo, "settings_reloaded",
           {{"bounds", settings.bounds == before ? "same" : "changed"},
            {"needs_restart", rest == own ? "no" : "yes"}});
}

void Gateway::BeginShutdown() {
  if (this->leaving_since) {
    return;
  }
  LogEvent(
      LogLevel::kInfo, "leaving",
      {{"active_requests", std::to_string(this->context.active_requests)}});
  this->leaving_since = this->context.Now();
  this->context.is_leaving = true;
  this->context.drain_deadline =
      this->context.Now() +
      ShareOf(this->context.settings.bounds.termination_grace_period,
              kAnswerShare);
  this->request_server->DisableKeepAlive();
  this->rate_limiter.ReleaseShards();
  this->dissemination.AnnounceStatus();
  this->dissemination.Leave([] {});
  this->leave_timer.StartRepeating(kLeaveCheckInterval);
}

void Gateway::CheckFinished() {
  const Duration passed = this->context.Now() - *this->leaving_since;
  const Duration grace = this->context.settings.bounds.termination_grace_period;
  if (!this->has_stopped_listening && passed >= ShareOf(grace, kListenShare)) {
    this->has_stopped_listening = true;
    this->request_server->StopListening();
  }
  const bool is_done = this->has_stopped_listening &&
                       this->context.active_requests == 0 &&
                       this->request_server->open_exchanges() == 0;
  if (is_done || passed >= ShareOf(grace, kFinishShare)) {
    LogEvent(
        LogLevel::kInfo, "stop",
        {{"active_requests", std::to_string(this->context.active_requests)}});
    FlushEventLog();
    this->context.loop.Stop();
  }
}

}  // namespace parsleyquay
