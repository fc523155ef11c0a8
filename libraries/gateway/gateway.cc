#include "gateway/gateway.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/random_id.h"
#include "gateway/address_selection.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// The path at the metrics address that tells the state of all rollouts.
constexpr char kRolloutsTarget[] = "/rollouts";

constexpr int kOkStatus = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kUnavailableStatus = 503;

constexpr std::size_t kIncarnationBytes = 6;
constexpr Duration kLogFlushInterval = milliseconds(200);

// Longer stalls are logged. A quarter of the time in which a configuration
// change must take effect.
constexpr Duration kMaxLoopStall = milliseconds(500);

// Shares of the grace period between SIGTERM and SIGKILL, all counted from its
// start. Clients cache the addresses of instances for some seconds, so new
// connections are accepted until kListenShare. All requests have a deadline at
// kRequestShare, so that each gets a response before the process exits at
// kExitShare at the latest.
constexpr double kListenShare = 0.6;
constexpr double kRequestShare = 0.85;
constexpr double kExitShare = 0.9;
constexpr Duration kDrainCheckInterval = milliseconds(50);
// How long a connection without a request delays the exit. Clients send the
// request as soon as they are connected.
constexpr Duration kFirstRequestTimeout = seconds(1);

// A request that arrives in the first half of the grace period, but no later
// than this after its start, may be broken off when the instance exits. The
// users' documentation states 3 s, counted from the signal, which may be
// handled a little later.
constexpr Duration kMayBreakOffPeriod = milliseconds(2'900);
constexpr double kMayBreakOffShare = 0.5;

std::vector<std::string> PeerMessageMethods() {
  std::vector<std::string> methods = WorkspaceRateLimiter::MessageMethods();
  methods.push_back(RolloutController::MessageMethod());
  methods.push_back(RetryBudgets::MessageMethod());
  std::ranges::copy(ConfigurationSharing::MessageMethods(),
                    std::back_inserter(methods));
  return methods;
}

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
                    PeerMessageMethods(),
                    this->MakeDisseminationHandlers()),
      server_discovery(
          this->context,
          {.on_new_incarnation =
               [this](const std::string& server) {
                 this->load_balancer.ResetServer(server);
               },
           .on_news = [this] { this->dissemination.SendDigestSoon(); },
           .on_gap =
               [this](const std::string& peer) {
                 this->dissemination.RequestServerList(peer);
               },
           .on_read =
               [this](bool was_old) {
                 this->dissemination.ForwardStoreNews(was_old);
               }}),
      rollout_controller(
          this->context,
          this->server_discovery,
          {.owns_shard_of =
               [this](const std::string& service) {
                 return this->rate_limiter.OwnsShardOf(service);
               },
           .on_news = [this] { this->dissemination.SendDigestSoon(); }}),
      load_balancer(
          this->context,
          this->server_discovery,
          this->rollout_controller,
          [this](const OutcomeReport& report) {
            this->dissemination.ReportOutcome(report);
          },
          [this](const std::string& service) {
            this->dissemination.ReportFailedRequest(service);
          }),
      rate_limiter(this->context,
                   [this] { this->dissemination.AnnounceStatus(); }),
      configuration_watcher(
          this->context,
          [this] {
            this->rate_limiter.OnConfigurationChange();
            this->ApplyClientTimeouts();
          },
          [this](const std::set<std::string>& domains) {
            this->server_discovery.SetWithdrawnDomains(domains);
          },
          [this] {
            this->dissemination.SendDigestSoon();
            this->configuration_sharing.OnNewState();
          },
          [this](const RolloutRequestChange& change) {
            this->rollout_controller.OnRequestChange(change);
          },
          [this] { this->configuration_sharing.OnFeedRead(); }),
      retry_budgets(this->context),
      configuration_sharing(
          this->context,
          this->configuration_watcher,
          this->dissemination.current_election(),
          {.is_store_available =
               [this] { return this->server_discovery.is_available(); },
           .on_old_feed_read = [this] { this->ForwardFeedRead(); }}),
      client_budget(loop,
                    DeriveClientLimits(this->context.settings.process_limits),
                    [this](ClosureReason reason,
                           std::size_t count,
                           const ClientUsage& usage) {
                      this->OnClientsClosed(reason, count, usage);
                    }),
      admission(this->context, this->load_balancer, this->retry_budgets),
      flush_timer(loop, [] { FlushEventLog(); }),
      loop_stall_detector(
          loop,
          kMaxLoopStall,
          [this](const LoopStall& stall) { this->OnLoopStall(stall); }),
      drain_timer(loop, [this] { this->CheckDrained(); }) {
  this->context.incarnation = RandomHex(kIncarnationBytes);
  this->context.coordination.era->Watch([this](std::uint64_t era) {
    LogEvent(LogLevel::kWarning, "store_era", {{"era", std::to_string(era)}});
    this->rollout_controller.OnStoreRestored();
  });
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
  BOOST_LEAF_ASSIGN(this->request_server,
                    HttpServer::Create(
                        this->context.loop, settings.request_address,
                        [this](std::shared_ptr<ServerExchange> exchange) {
                          this->OnRequest(std::move(exchange));
                        },
                        &this->client_budget));
  BOOST_LEAF_ASSIGN(
      this->readiness_server,
      HttpServer::Create(
          this->context.loop, settings.readiness_address,
          [this](const std::shared_ptr<ServerExchange>& exchange) {
            this->OnReadinessProbe(*exchange);
          },
          &this->client_budget));
  BOOST_LEAF_ASSIGN(
      this->address_query_server,
      HttpServer::Create(
          this->context.loop, settings.directory_address,
          [this](const std::shared_ptr<ServerExchange>& exchange) {
            this->OnAddressQuery(*exchange);
          },
          &this->client_budget));
  BOOST_LEAF_ASSIGN(
      this->metrics_server,
      HttpServer::Create(
          this->context.loop, settings.metrics_address,
          [this](const std::shared_ptr<ServerExchange>& exchange) {
            this->OnMetricsRequest(*exchange);
          },
          &this->client_budget));
  this->configuration_sharing.Start();
  this->server_discovery.Start();
  this->dissemination.Start();
  this->rate_limiter.Start();
  this->rollout_controller.Start();
  this->retry_budgets.Start();
  this->flush_timer.StartRepeating(kLogFlushInterval);
  this->loop_stall_detector.Start();
  return {};
}

DisseminationAgent::Handlers Gateway::MakeDisseminationHandlers() {
  return {.on_outcomes =
              [this](const OutcomeSummary& outcomes) {
                this->load_balancer.ApplyOutcomes(outcomes);
                this->rollout_controller.OnOutcomes(outcomes);
              },
          .on_digest = [this](const Digest& digest) { this->OnDigest(digest); },
          .fill_digest =
              [this](Digest& digest) {
                this->FillStoreNews(digest);
                digest.rollouts = this->rollout_controller.News();
                this->retry_budgets.FillDigest(digest);
              },
          .fill_store_news =
              [this](Digest& digest) { this->FillStoreNews(digest); },
          .add_full_server_list =
              [this](Digest& digest) {
                return this->server_discovery.AddFullListToDigest(digest);
              },
          .on_role_change =
              [this](const AggregationRole& role) { this->OnRoleChange(role); },
          .on_rank_change = [this] { this->UpdateReadOrder(); },
          .owned_shards = [this] { return this->rate_limiter.OwnedShards(); },
          .on_message =
              [this](const std::string& method, const Json::Value& parameters) {
                if (method == RolloutController::MessageMethod()) {
                  this->rollout_controller.OnMessage(parameters);
                  return;
                }
                if (method == RetryBudgets::MessageMethod()) {
                  this->retry_budgets.OnMessage(parameters);
                  return;
                }
                if (method == kConfigurationRequestMethod ||
                    method == kConfigurationFragmentMethod) {
                  this->configuration_sharing.OnMessage(method, parameters);
                  return;
                }
                this->rate_limiter.OnMessage(method, parameters);
              }};
}

void Gateway::FillStoreNews(Digest& digest) {
  const ConfigurationWatcher& watcher = this->configuration_watcher;
  digest.configuration_version = this->context.configuration_version();
  digest.operator_position = watcher.newest_known_position();
  digest.operator_feed_age = watcher.FeedAge();
  digest.has_operator_state = watcher.has_state() && !watcher.is_behind();
  digest.serves_configuration = this->configuration_sharing.is_enabled();
  this->server_discovery.AddChangesToDigest(digest);
}

void Gateway::ForwardFeedRead() {
  const AggregationRole& role = this->dissemination.current_election().role;
  if (!role.is_aggregator && !role.is_standby) {
    this->server_discovery.SkipChangesBeforeNow();
  }
  this->dissemination.ForwardStoreNews(true);
}

// Returns whether a digest of this member shows that it reads for the others of
// this failure domain although it is not the aggregator, and is to do so in
// preference to this instance. Else all that have read at the same moment would
// go on.
bool Gateway::IsEarlierReader(const std::string& member) const {
  const AggregatorElection& election = this->dissemination.current_election();
  const std::size_t rank = RankOfCandidate(election, member);
  return rank > 0 && rank < RankOfCandidate(election, election.name);
}

// The standby reads before the other members when the aggregator does not tell
// that the list of servers and the operators' feed are complete.
void Gateway::UpdateReadOrder() {
  const AggregatorElection& election = this->dissemination.current_election();
  const ListReadOrder order{.is_first = election.role.is_standby,
                            .rank = RankOfCandidate(election, election.name)};
  this->server_discovery.SetReadOrder(order);
  this->configuration_sharing.SetReadOrder(order);
}

RequestDependencies Gateway::MakeRequestDependencies() {
  return {this->context, this->rate_limiter, this->load_balancer,
          this->retry_budgets, this->admission};
}

void Gateway::OnRequest(std::shared_ptr<ServerExchange> exchange) {
  std::make_shared<ProxiedRequest>(this->MakeRequestDependencies(),
                                   std::move(exchange))
      ->Start();
}

void Gateway::ApplyClientTimeouts() {
  const CallerLimits& limits = this->context.routing->configuration().limits;
  this->client_budget.SetTimeouts(
      {.header = limits.header_timeout, .idle = limits.idle_timeout});
}

void Gateway::OnClientsClosed(ClosureReason reason,
                              std::size_t count,
                              const ClientUsage& usage) {
  const std::string name(ClosureReasonName(reason));
  IncrementCounter(this->context.metrics,
                   "clients_closed{reason=\"" + name + "\"}", count);
  LogEvent(LogLevel::kWarning, "clients_closed",
           {{"reason", name},
            {"count", std::to_string(count)},
            {"connections", std::to_string(usage.connections)},
            {"bytes", std::to_string(usage.bytes)}});
}

bool Gateway::is_ready() const {
  return this->context.routing && this->server_discovery.has_been_loaded() &&
         !this->context.is_leaving;
}

// Returns whether this instance is probably partitioned: the store is
// unavailable and fewer than half of the members are alive. Clients then should
// query another instance.
bool Gateway::is_isolated() const {
  return !IsAtLeastHalfAlive(this->context.members, this->context.Now()) &&
         !this->server_discovery.is_available() &&
         !this->configuration_watcher.is_available();
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

void Gateway::OnMetricsRequest(ServerExchange& exchange) {
  if (exchange.target() == kRolloutsTarget) {
    exchange.Respond(kOkStatus, {{"Content-Type", "application/json"}},
                     this->rollout_controller.Describe().toStyledString());
    return;
  }
  GatewayMetrics metrics = this->context.metrics;
  IncrementCounter(metrics, "active_requests",
                   this->context.active_requests.size());
  IncrementCounter(metrics, "admission_waiting",
                   this->admission.waiting_count());
  IncrementCounter(metrics, "configuration_version",
                   this->context.configuration_version());
  IncrementCounter(metrics, "members_alive",
                   CountAlive(this->context.members, this->context.Now()));
  IncrementCounter(metrics, "shards_without_owner",
                   this->rate_limiter.CountShardsWithoutOwner());
  IncrementCounter(metrics, "servers_listed",
                   this->server_discovery.roster().servers.size());
  IncrementCounter(metrics, "server_list_reads_failed",
                   this->server_discovery.failed_reads());
  if (const auto age = this->server_discovery.ListAge()) {
    IncrementCounter(metrics, "server_list_age_ms",
                     static_cast<std::uint64_t>(ToMilliseconds(*age)));
  }
  if (const auto age = this->configuration_watcher.FeedAge()) {
    IncrementCounter(metrics, "operator_feed_age_ms",
                     static_cast<std::uint64_t>(ToMilliseconds(*age)));
  }
  IncrementCounter(metrics, "store_era",
                   this->context.coordination.era->known());
  const ClientUsage usage = this->client_budget.usage();
  IncrementCounter(metrics, "client_connections", usage.connections);
  IncrementCounter(metrics, "client_connections_lingering",
                   this->request_server->lingering_connections());
  IncrementCounter(metrics, "client_bytes", usage.bytes);
  IncrementCounter(metrics, "log_lines_dropped", DroppedLogLines());
  this->rollout_controller.AddMetrics(metrics);
  this->retry_budgets.AddMetrics(metrics);
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
  this->context.coordination.era->Raise(
      std::max(digest.operator_position.era, digest.servers_to.era));
  this->context.coordination.era->NotifyWatchers();
  this->configuration_watcher.OnPeerFeedPosition(digest.operator_position,
                                                 digest.operator_feed_age);
  this->configuration_sharing.OnDigest(digest);
  this->server_discovery.ApplyDigest(digest);
  if (this->IsEarlierReader(digest.sender)) {
    this->configuration_sharing.StopReadingForOthers();
    this->server_discovery.StopReadingForOthers();
  }
  this->rollout_controller.OnNews(digest.rollouts);
  this->retry_budgets.OnDigest(digest);
  this->rate_limiter.GiveUpSupersededShards();
}

void Gateway::OnLoopStall(const LoopStall& stall) {
  IncrementCounter(this->context.metrics, "loop_holds");
  LogEvent(LogLevel::kWarning, "loop_held",
           {{"held_ms", std::to_string(ToMilliseconds(stall.duration))},
            {"processor_ms", std::to_string(ToMilliseconds(stall.cpu_time))}});
}

void Gateway::OnRoleChange(const AggregationRole& role) {
  LogEvent(LogLevel::kInfo, "role",
           {{"aggregator", role.is_aggregator ? "yes" : "no"},
            {"standby", role.is_standby ? "yes" : "no"},
            {"alone", role.is_without_aggregator ? "yes" : "no"}});
  this->server_discovery.SetSource(
      role.is_aggregator ? ServerListSource::kStore : ServerListSource::kPeers);
  this->UpdateReadOrder();
  this->configuration_watcher.SetFrequentReads(
      role.is_aggregator || role.is_without_aggregator, role.is_aggregator);
  this->retry_budgets.OnRoleChange(role);
  this->configuration_sharing.OnRoleChange();
}

void Gateway::UpdateSettings(const GatewaySettings& settings) {
  const FleetBounds before = this->context.settings.bounds;
  this->context.settings.bounds = settings.bounds;
  GatewaySettings reloaded_rest = settings;
  reloaded_rest.bounds = before;
  GatewaySettings current_rest = this->context.settings;
  current_rest.bounds = before;
  LogEvent(LogLevel::kInfo, "settings_reloaded",
           {{"bounds", settings.bounds == before ? "same" : "changed"},
            {"needs_restart", reloaded_rest == current_rest ? "no" : "yes"}});
}

void Gateway::BeginShutdown() {
  if (this->shutdown_began_at) {
    return;
  }
  LogEvent(LogLevel::kInfo, "leaving",
           {{"active_requests",
             std::to_string(this->context.active_requests.size())}});
  this->shutdown_began_at = this->context.Now();
  this->context.is_leaving = true;
  this->context.drain_deadline =
      this->context.Now() +
      ShareOf(this->context.settings.bounds.termination_grace_period,
              kRequestShare);
  this->context.full_deadline_since =
      this->context.Now() +
      std::min(kMayBreakOffPeriod,
               ShareOf(this->context.settings.bounds.termination_grace_period,
                       kMayBreakOffShare));
  for (ProxiedRequest* request : this->context.active_requests) {
    request->OnShutdown();
  }
  this->request_server->DisableKeepAlive();
  this->rate_limiter.StopOwningShards();
  this->dissemination.AnnounceStatus();
  this->dissemination.Leave([] {});
  this->drain_timer.StartRepeating(kDrainCheckInterval);
}

void Gateway::CheckDrained() {
  const Duration elapsed = this->context.Now() - *this->shutdown_began_at;
  const Duration grace = this->context.settings.bounds.termination_grace_period;
  if (!this->has_stopped_listening && elapsed >= ShareOf(grace, kListenShare)) {
    this->has_stopped_listening = true;
    this->request_server->StopListening();
  }
  const bool is_drained =
      this->has_stopped_listening && this->context.active_requests.empty() &&
      this->request_server->open_exchanges() == 0 &&
      this->request_server->lingering_connections() == 0 &&
      !this->client_budget.MayReceiveRequest(kFirstRequestTimeout) &&
      !this->client_budget.HasUnacknowledgedData();
  if (is_drained || elapsed >= ShareOf(grace, kExitShare)) {
    LogEvent(LogLevel::kInfo, "stop",
             {{"active_requests",
               std::to_string(this->context.active_requests.size())},
              {"lingering_connections",
               std::to_string(this->request_server->lingering_connections())}});
    FlushEventLog();
    this->context.loop.Stop();
  }
}

}  // namespace parsleyquay
