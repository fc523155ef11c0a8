#include "gateway/load_balancer.h"

#include <algorithm>
#include <cmath>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// The expected service time before any request has been measured.
constexpr Duration kInitialServiceTime = milliseconds(200);
// Weight of a new sample in the exponential moving average.
constexpr double kServiceTimeWeight = 0.1;

// Few requests take longer than this many times the expected service time.
constexpr int kLongServiceTimeFactor = 4;

// Time constant of the decay of a reported load. The load halves in about the
// time of one request.
constexpr double kLoadDecaySeconds = 0.4;

// The probability that the network path to a server is broken after an attempt
// without a connection, or with a broken or overdue response, and the time
// constant of its decay. Network partitions last for several seconds, and each
// attempt over a broken path costs a request the connect timeout.
constexpr double kUnreachablePathFailure = 0.9;
constexpr double kBrokenPathFailure = 0.3;
constexpr double kPathDecaySeconds = 6;

// How long a server is excluded after another one has responded at its address.
// Afterwards the list of servers is up to date.
constexpr Duration kMisdirectedPause = seconds(1);

// A change is logged when the estimated probability that a server is degraded
// crosses this value.
constexpr double kDegradedThreshold = 0.5;

std::string ToPercent(double share) {
  return std::to_string(std::lround(share * 100));
}

}  // namespace

LoadBalancer::LoadBalancer(GatewayContext& context,
                           ServerDiscovery& discovery,
                           RolloutController& rollouts,
                           OnReport on_report,
                           OnFailedRequest on_failed_request)
    : context(context),
      discovery(discovery),
      rollouts(rollouts),
      on_report(std::move(on_report)),
      on_failed_request(std::move(on_failed_request)) {}

std::optional<ServerReservation> LoadBalancer::Acquire(
    const ServerSelectionCriteria& criteria) {
  const std::vector<std::string>& names =
      this->discovery.ServersOfService(criteria.service);
  std::vector<PlacementCandidate> candidates(names.size());
  std::ranges::transform(names, candidates.begin(),
                         [&](const std::string& name) {
                           return this->ToCandidate(name, criteria);
                         });
  const PlacementRequest request{
      .is_retryable = criteria.is_retryable,
      .is_bulk = criteria.is_bulk,
      .expected_service_time = this->ExpectedServiceTime(criteria.service),
      .time_left = criteria.time_left};
  const auto chosen =
      this->ChooseByVersion(names, candidates, request, criteria);
  if (!chosen) {
    return std::nullopt;
  }
  const std::string& server = names[*chosen];
  const RosterEntry& entry = this->discovery.roster().servers.at(server);
  const TimePoint now = this->context.Now();
  if (now < entry.cold_until) {
    RecordColdServerRequest(this->cold_start_limiter, server, now);
  }
  this->rollouts.CountAttempt(criteria.service, entry.listing.version);
  ServerState& state = this->StateOf(server);
  ++state.in_flight;
  ++state.sent_since_report;
  state.used_at = now;
  return ServerReservation{
      .server = server,
      .service = criteria.service,
      .address = entry.listing.address,
      .incarnation = entry.listing.incarnation,
      .version = entry.listing.version,
      .route = criteria.route,
      .is_cold = now < entry.cold_until,
      .acquired_at = now,
      .failure_probability = candidates[*chosen].failure_probability,
      .load = candidates[*chosen].load};
}

bool LoadBalancer::MayReceive(const ServerReservation& reservation) const {
  const ServerRoster& roster = this->discovery.roster();
  const auto found = roster.servers.find(reservation.server);
  return found != roster.servers.end() &&
         found->second.listing.address == reservation.address &&
         found->second.listing.incarnation == reservation.incarnation &&
         MayReceiveRequests(roster, found->second) &&
         this->rollouts.MayReceive(reservation.service, reservation.version) &&
         !this->IsPaused(reservation.server);
}

// Chooses among the servers of the versions that a rollout of the service
// permits.
std::optional<std::size_t> LoadBalancer::ChooseByVersion(
    const std::vector<std::string>& names,
    const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request,
    const ServerSelectionCriteria& criteria) {
  for (const VersionFilter& filter : this->rollouts.FiltersFor(
           criteria.service, !criteria.tried_servers.empty())) {
    if (filter == VersionFilter{}) {
      return this->Choose(candidates, request, criteria.service);
    }
    std::vector<PlacementCandidate> permitted = candidates;
    for (std::size_t i = 0; i < permitted.size(); ++i) {
      const RosterEntry& entry = this->discovery.roster().servers.at(names[i]);
      permitted[i].is_permitted =
          permitted[i].is_permitted &&
          filter.Permits(names[i], entry.listing.version,
                         permitted[i].failure_probability);
    }
    if (const auto chosen =
            this->Choose(permitted, request, criteria.service)) {
      return chosen;
    }
  }
  return std::nullopt;
}

// Returns what an attempt that ends now, or is overdue, says about the version
// of its server. A request that was shed says nothing.
std::optional<VersionObservation> LoadBalancer::Observe(
    const ServerReservation& reservation,
    std::optional<ServerOutcome> outcome) const {
  if (!outcome || *outcome == ServerOutcome::kShed) {
    return std::nullopt;
  }
  const bool is_overdue = *outcome == ServerOutcome::kOverdue;
  const bool is_failure = !is_overdue && *outcome != ServerOutcome::kServed;
  // A cold server is slower, which says nothing about its version.
  return this->rollouts.Observe(
      reservation.service, reservation.version, reservation.route, is_failure,
      reservation.is_cold || is_failure
          ? std::nullopt
          : std::optional(this->context.Now() - reservation.acquired_at));
}

std::optional<std::size_t> LoadBalancer::Choose(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request,
    const std::string& service) {
  const auto exploration_candidates = SampleExplorationCandidates(
      candidates, request, this->TrafficOf(service), this->context.random());
  return SampleServer(
      exploration_candidates ? *exploration_candidates : candidates, request,
      this->context.random());
}

ServiceTraffic LoadBalancer::TrafficOf(const std::string& service) const {
  const auto rate_of = [&](const std::map<std::string, RateMeter>& rates) {
    const auto found = rates.find(service);
    return found == rates.end() ? 0
                                : RateAt(found->second, this->context.Now());
  };
  const TimePoint now = this->context.Now();
  const MemberTable& members = this->context.members;
  return {.attempts_per_second = rate_of(this->attempt_rates),
          .served_per_second = rate_of(this->served_rates),
          .failed_per_second = rate_of(this->failed_request_rates),
          .lost_instance_share = ShareOfRecentlyLostMembers(members, now),
          .own_domain_share = ShareOfLiveMembers(
              members, this->context.settings.failure_domain, now)};
}

void LoadBalancer::Release(const ServerReservation& reservation,
                           std::optional<ServerOutcome> outcome,
                           std::optional<ReportedLoad> load) {
  ServerState& state = this->StateOf(reservation.server);
  state.in_flight = std::max(0L, state.in_flight - 1);
  long total = -1;
  if (load) {
    total = load->running + load->waiting;
    state.reported_load = static_cast<double>(total);
    state.reported_at = this->context.Now();
    state.sent_since_report = 0;
  }
  if (!outcome) {
    return;
  }
  const bool was_queued = !load || load->waiting > 0;
  if (*outcome == ServerOutcome::kServed && !was_queued) {
    this->UpdateServiceTime(reservation);
  }
  if (*outcome == ServerOutcome::kServed) {
    RecordEvents(this->own_rates[reservation.service], 1, this->context.Now());
  }
  this->UpdatePath(state, *outcome);
  this->on_report({reservation.server, *outcome, total,
                   this->Observe(reservation, outcome)});
}

void LoadBalancer::ReportOutcome(const ServerReservation& reservation,
                                 ServerOutcome outcome) {
  RecordEvents(this->own_rates[reservation.service], 1, this->context.Now());
  this->on_report(
      {reservation.server, outcome, -1, this->Observe(reservation, outcome)});
}

void LoadBalancer::MarkMisdirected(const ServerReservation& reservation) {
  this->StateOf(reservation.server).misdirected_until =
      this->context.Now() + kMisdirectedPause;
}

void LoadBalancer::ReportFailedRequest(const std::string& service,
                                       const HostRoute& route) {
  RecordEvents(this->own_rates[service], 1, this->context.Now());
  std::set<std::string> services = {service};
  for (const WeightedService& possible : route.services) {
    services.insert(possible.service);
  }
  std::ranges::for_each(services, this->on_failed_request);
}

void LoadBalancer::ApplyOutcomes(const OutcomeSummary& outcomes) {
  const TimePoint now = this->context.Now();
  for (const auto& [service, count] : outcomes.failed_requests_by_service) {
    RecordEvents(this->failed_request_rates[service],
                 static_cast<double>(count), now);
  }
  for (const auto& [server, summary] : outcomes.servers) {
    const auto listed = this->discovery.roster().servers.find(server);
    if (listed == this->discovery.roster().servers.end()) {
      continue;
    }
    ServerState& state = this->StateOf(server);
    state.used_at = std::max(state.used_at, summary.newest_at);
    if (summary.load >= 0 && summary.newest_at > state.reported_at) {
      state.reported_load = static_cast<double>(summary.load);
      state.reported_at = summary.newest_at;
      state.sent_since_report = 0;
    }
    // Successful outcomes come first in the map, so that after a mixed summary
    // the failures weigh more.
    for (const auto& [outcome, count] : summary.counts) {
      if (outcome == ServerOutcome::kServed ||
          outcome == ServerOutcome::kOverdue) {
        RecordEvents(state.rate, static_cast<double>(count), now);
      }
      const std::string& service = listed->second.listing.service;
      // An overdue request is counted again when it ends.
      if (outcome != ServerOutcome::kOverdue) {
        RecordEvents(this->attempt_rates[service], static_cast<double>(count),
                     now);
      }
      if (outcome == ServerOutcome::kShed) {
        RecordEvents(this->shed_rates[service], static_cast<double>(count),
                     now);
      }
      if (outcome == ServerOutcome::kServed) {
        RecordEvents(this->served_rates[service], static_cast<double>(count),
                     now);
      }
      this->UpdateHealthEstimate(server, outcome, count, summary.newest_at);
    }
  }
}

void LoadBalancer::ResetServer(const std::string& server) {
  this->states.erase(server);
}

Duration LoadBalancer::ExpectedServiceTime(const std::string& service) const {
  const auto found = this->expected_service_times.find(service);
  return found == this->expected_service_times.end() ? kInitialServiceTime
                                                     : found->second;
}

Duration LoadBalancer::LongServiceTime(const std::string& service) const {
  return this->ExpectedServiceTime(service) * kLongServiceTimeFactor;
}

LoadBalancer::ServerState& LoadBalancer::StateOf(const std::string& server) {
  const auto found = this->states.find(server);
  if (found != this->states.end()) {
    return found->second;
  }
  ServerState state;
  state.estimate = MakeServerHealthEstimate(this->model, this->context.Now());
  return this->states.emplace(server, state).first->second;
}

PlacementCandidate LoadBalancer::ToCandidate(
    const std::string& server,
    const ServerSelectionCriteria& criteria) {
  const RosterEntry& entry = this->discovery.roster().servers.at(server);
  const ServerState& state = this->StateOf(server);
  return {.failure_probability = this->CombinedFailureProbability(state),
          .load = this->CurrentLoad(state),
          .utilization = this->UtilizationOf(state, entry),
          .slots = std::max(1L, entry.listing.slots),
          .is_cold = this->context.Now() < entry.cold_until,
          .is_in_own_domain = entry.listing.failure_domain ==
                              this->context.settings.failure_domain,
          .is_permitted = this->IsPermitted(server, entry, criteria),
          .idle_time = this->context.Now() - state.used_at};
}

double LoadBalancer::CurrentLoad(const ServerState& state) const {
  const double age = ToSeconds(this->context.Now() - state.reported_at);
  return state.reported_load * std::exp(-age / kLoadDecaySeconds) +
         static_cast<double>(
             std::min(state.in_flight, state.sent_since_report));
}

// By Little's law, the number of busy slots is the request rate times the
// service time.
double LoadBalancer::UtilizationOf(const ServerState& state,
                                   const RosterEntry& entry) const {
  const double busy_slots =
      RateAt(state.rate, this->context.Now()) *
      ToSeconds(this->ExpectedServiceTime(entry.listing.service));
  return busy_slots / static_cast<double>(std::max(1L, entry.listing.slots));
}

double LoadBalancer::CombinedFailureProbability(
    const ServerState& state) const {
  const TimePoint now = this->context.Now();
  const double server_failure = FailureProbability(
      DecayEstimate(state.estimate, this->model, now), this->model);
  const double path_failure =
      state.path_failure_probability *
      std::exp(-ToSeconds(now - state.path_updated_at) / kPathDecaySeconds);
  return 1 - (1 - server_failure) * (1 - path_failure);
}

bool LoadBalancer::IsPermitted(const std::string& server,
                               const RosterEntry& entry,
                               const ServerSelectionCriteria& criteria) {
  const TimePoint now = this->context.Now();
  if (!MayReceiveRequests(this->discovery.roster(), entry) ||
      criteria.tried_servers.contains(server) ||
      now < this->StateOf(server).misdirected_until || this->IsPaused(server)) {
    return false;
  }
  return now >= entry.cold_until ||
         MaySendToColdServer(
             this->cold_start_limiter, this->ColdStartLimitOf(criteria.service),
             this->context.settings.name, AllMemberNames(this->context.members),
             server, now);
}

ColdStartLimit LoadBalancer::ColdStartLimitOf(
    const std::string& service) const {
  const FleetBounds& bounds = this->context.settings.bounds;
  const ServiceConfiguration& configuration =
      GetServiceConfiguration(this->context.routing->configuration(), service);
  return {configuration.cold_requests_per_second, bounds.cold_overshoot,
          bounds.cold_slack};
}

void LoadBalancer::UpdateHealthEstimate(const std::string& server,
                                        ServerOutcome outcome,
                                        long count,
                                        TimePoint at) {
  ServerState& state = this->StateOf(server);
  const double before = state.estimate.degraded_probability;
  state.estimate =
      UpdateEstimateRepeatedly(state.estimate, this->model, outcome, count,
                               std::max(at, state.estimate.updated_at));
  const double after = state.estimate.degraded_probability;
  const bool is_probably_degraded = after >= kDegradedThreshold;
  if (is_probably_degraded != (before >= kDegradedThreshold)) {
    LogEvent(LogLevel::kInfo, "belief",
             {{"server", server},
              {"doubtful", is_probably_degraded ? "yes" : "no"},
              {"spell_percent", ToPercent(after)},
              {"before_percent", ToPercent(before)},
              {"outcome", std::string(ServerOutcomeName(outcome))}});
  }
}

void LoadBalancer::UpdatePath(ServerState& state, ServerOutcome outcome) {
  state.path_updated_at = this->context.Now();
  switch (outcome) {
    case ServerOutcome::kUnreachable:
      state.path_failure_probability = kUnreachablePathFailure;
      return;
    case ServerOutcome::kBroken:
    case ServerOutcome::kOverdue:
      state.path_failure_probability =
          std::max(state.path_failure_probability, kBrokenPathFailure);
      return;
    case ServerOutcome::kServed:
    case ServerOutcome::kFailed:
    case ServerOutcome::kShed:
      state.path_failure_probability = 0;
      return;
  }
}

void LoadBalancer::UpdateServiceTime(const ServerReservation& reservation) {
  const Duration elapsed = this->context.Now() - reservation.acquired_at;
  const Duration expected = this->ExpectedServiceTime(reservation.service);
  this->expected_service_times[reservation.service] =
      expected + std::chrono::duration_cast<Duration>((elapsed - expected) *
                                                      kServiceTimeWeight);
}

}  // namespace parsleyquay
