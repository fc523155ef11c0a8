#include "gateway/load_balancer.h"

#include <algorithm>
#include <cmath>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// What a request takes before any has been seen.
constexpr Duration kUnknownWork = milliseconds(200);
constexpr double kWorkSmoothing = 0.1;

// A reported load halves in about the time of one request.
constexpr double kLoadFadeSeconds = 0.4;

// Partitions last for several seconds, and each trial of a path that is cut
// costs a request the time to connect.
constexpr double kUnreachablePathFault = 0.9;
constexpr double kBrokenPathFault = 0.3;
constexpr double kPathFadeSeconds = 6;

// Until the list names the server's new address, or that it is gone.
constexpr Duration kMisdirectedPause = seconds(1);

// A change of belief is logged when it passes this probability.
constexpr double kDoubtfulProbability = 0.5;

std::string ToPercent(double share) {
  return std::to_string(std::lround(share * 100));
}

}  // namespace

LoadBalancer::LoadBalancer(GatewayContext& context,
                           const ServerDiscovery& discovery,
                           OnReport on_report,
                           OnFailedRequest on_failed_request)
    : context(context),
      discovery(discovery),
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
  const auto drawn = this->Choose(candidates, request, criteria.service);
  if (!drawn) {
    return std::nullopt;
  }
  const std::string& server = names[*drawn];
  const RosterEntry& entry = this->discovery.roster().servers.at(server);
  const TimePoint now = this->context.Now();
  if (now < entry.cold_until) {
    RecordColdServerRequest(this->cold_start_limiter, server, now);
  }
  ServerUse& use = this->UseOf(server);
  ++use.in_flight;
  ++use.sent_since_report;
  use.used_at = now;
  return ServerReservation{
      .server = server,
      .service = criteria.service,
      .address = entry.listing.address,
      .acquired_at = now,
      .failure_probability = candidates[*drawn].failure_probability,
      .load = candidates[*drawn].load};
}

std::optional<std::size_t> LoadBalancer::Choose(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementRequest& request,
    const std::string& service) {
  const auto trial = SampleExplorationCandidates(
      candidates, request, this->TrafficOf(service), this->context.random());
  return SampleServer(trial ? *trial : candidates, request,
                      this->context.random());
}

ServiceTraffic LoadBalancer::TrafficOf(const std::string& service) const {
  const auto rate_of = [&](const std::map<std::string, RateMeter>& rates) {
    const auto found = rates.find(service);
    return found == rates.end() ? 0
                                : RateAt(found->second, this->context.Now());
  };
  const std::size_t domains = FailureDomains(this->context.members).size();
  return {.served_per_second = rate_of(this->served_rates),
          .failed_per_second = rate_of(this->failed_request_rates),
          .own_domain_share =
              1 / static_cast<double>(std::max<std::size_t>(1, domains))};
}

void LoadBalancer::Release(const ServerReservation& reservation,
                           std::optional<ServerOutcome> outcome,
                           std::optional<ReportedLoad> load) {
  ServerUse& use = this->UseOf(reservation.server);
  use.in_flight = std::max(0L, use.in_flight - 1);
  long total = -1;
  if (load) {
    total = load->running + load->waiting;
    use.reported_load = static_cast<double>(total);
    use.reported_at = this->context.Now();
    use.sent_since_report = 0;
  }
  if (!outcome) {
    return;
  }
  const bool has_waited = !load || load->waiting > 0;
  if (*outcome == ServerOutcome::kServed && !has_waited) {
    this->NoteWork(reservation);
  }
  this->NotePath(use, *outcome);
  this->on_report({reservation.server, *outcome, total});
}

void LoadBalancer::ReportOutcome(const ServerReservation& reservation,
                                 ServerOutcome outcome) {
  this->on_report({reservation.server, outcome, -1});
}

void LoadBalancer::MarkMisdirected(const ServerReservation& reservation) {
  this->UseOf(reservation.server).misdirected_until =
      this->context.Now() + kMisdirectedPause;
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
    ServerUse& use = this->UseOf(server);
    use.used_at = std::max(use.used_at, summary.newest_at);
    if (summary.load >= 0 && summary.newest_at > use.reported_at) {
      use.reported_load = static_cast<double>(summary.load);
      use.reported_at = summary.newest_at;
      use.sent_since_report = 0;
    }
    // Good outcomes first: of a mixed summary the doubt is to remain.
    for (const auto& [outcome, count] : summary.counts) {
      if (outcome == ServerOutcome::kServed ||
          outcome == ServerOutcome::kOverdue) {
        RecordEvents(use.rate, static_cast<double>(count), now);
      }
      if (outcome == ServerOutcome::kServed) {
        RecordEvents(this->served_rates[listed->second.listing.service],
                     static_cast<double>(count), now);
      }
      this->LearnOutcomes(server, outcome, count, summary.newest_at);
    }
  }
}

void LoadBalancer::ResetServer(const std::string& server) {
  this->uses.erase(server);
}

Duration LoadBalancer::ExpectedServiceTime(const std::string& service) const {
  const auto found = this->expected_service_times.find(service);
  return found == this->expected_service_times.end() ? kUnknownWork
                                                     : found->second;
}

LoadBalancer::ServerUse& LoadBalancer::UseOf(const std::string& server) {
  const auto found = this->uses.find(server);
  if (found != this->uses.end()) {
    return found->second;
  }
  ServerUse use;
  use.estimate = MakeServerHealthEstimate(this->model, this->context.Now());
  return this->uses.emplace(server, use).first->second;
}

PlacementCandidate LoadBalancer::ToCandidate(
    const std::string& server,
    const ServerSelectionCriteria& criteria) {
  const RosterEntry& entry = this->discovery.roster().servers.at(server);
  const ServerUse& use = this->UseOf(server);
  return {.failure_probability = this->FailureShare(use),
          .load = this->CurrentLoad(use),
          .utilization = this->UtilizationOf(use, entry),
          .slots = std::max(1L, entry.listing.slots),
          .is_cold = this->context.Now() < entry.cold_until,
          .is_in_own_domain = entry.listing.failure_domain ==
                              this->context.settings.failure_domain,
          .is_permitted = this->IsPermitted(server, entry, criteria),
          .idle_time = this->context.Now() - use.used_at};
}

double LoadBalancer::CurrentLoad(const ServerUse& use) const {
  const double age = ToSeconds(this->context.Now() - use.reported_at);
  return use.reported_load * std::exp(-age / kLoadFadeSeconds) +
         static_cast<double>(std::min(use.in_flight, use.sent_since_report));
}

// By Little's law: as many slots are busy as requests come in the time that one
// takes.
double LoadBalancer::UtilizationOf(const ServerUse& use,
                                   const RosterEntry& entry) const {
  const double busy =
      RateAt(use.rate, this->context.Now()) *
      ToSeconds(this->ExpectedServiceTime(entry.listing.service));
  return busy / static_cast<double>(std::max(1L, entry.listing.slots));
}

double LoadBalancer::FailureShare(const ServerUse& use) const {
  const TimePoint now = this->context.Now();
  const double pooled = FailureProbability(
      DecayEstimate(use.estimate, this->model, now), this->model);
  const double path =
      use.path_fault *
      std::exp(-ToSeconds(now - use.path_fault_at) / kPathFadeSeconds);
  return 1 - (1 - pooled) * (1 - path);
}

bool LoadBalancer::IsPermitted(const std::string& server,
                               const RosterEntry& entry,
                               const ServerSelectionCriteria& criteria) {
  const TimePoint now = this->context.Now();
  if (!MayReceiveRequests(this->discovery.roster(), entry) ||
      criteria.tried_servers.contains(server) ||
      now < this->UseOf(server).misdirected_until) {
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

void LoadBalancer::LearnOutcomes(const std::string& server,
                                 ServerOutcome outcome,
                                 long count,
                                 TimePoint at) {
  ServerUse& use = this->UseOf(server);
  const double before = use.estimate.degraded_probability;
  use.estimate =
      UpdateEstimateRepeatedly(use.estimate, this->model, outcome, count,
                               std::max(at, use.estimate.updated_at));
  const double after = use.estimate.degraded_probability;
  const bool is_doubtful = after >= kDoubtfulProbability;
  if (is_doubtful != (before >= kDoubtfulProbability)) {
    LogEvent(LogLevel::kInfo, "belief",
             {{"server", server},
              {"doubtful", is_doubtful ? "yes" : "no"},
              {"spell_percent", ToPercent(after)},
              {"before_percent", ToPercent(before)},
              {"outcome", std::string(ServerOutcomeName(outcome))}});
  }
}

void LoadBalancer::NotePath(ServerUse& use, ServerOutcome outcome) {
  use.path_fault_at = this->context.Now();
  switch (outcome) {
    case ServerOutcome::kUnreachable:
      use.path_fault = kUnreachablePathFault;
      return;
    case ServerOutcome::kBroken:
    case ServerOutcome::kOverdue:
      use.path_fault = std::max(use.path_fault, kBrokenPathFault);
      return;
    case ServerOutcome::kServed:
    case ServerOutcome::kFailed:
    case ServerOutcome::kShed:
      use.path_fault = 0;
      return;
  }
}

void LoadBalancer::NoteWork(const ServerReservation& reservation) {
  const Duration work = this->context.Now() - reservation.acquired_at;
  const Duration usual = this->ExpectedServiceTime(reservation.service);
  this->expected_service_times[reservation.service] =
      usual +
      std::chrono::duration_cast<Duration>((work - usual) * kWorkSmoothing);
}

}  // namespace parsleyquay
