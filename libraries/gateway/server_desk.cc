#include "gateway/server_desk.h"

#include <algorithm>
#include <cmath>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// Assumed before any request of the service has been processed.
constexpr Duration kInitialProcessingTime = milliseconds(200);
// Weight of a new sample in the exponential moving average.
constexpr double kProcessingTimeWeight = 0.1;

// Time constant of the decay of a reported load, which halves in about the time
// of one request.
constexpr double kLoadDecaySeconds = 0.4;

// The probability that the network path to a server is broken after an attempt
// without a connection, or with a broken or overdue response, and the time
// constant of its decay. Network partitions last for several seconds, and each
// attempt over a broken path costs a request the connect timeout.
constexpr double kUnreachablePathFailure = 0.9;
constexpr double kBrokenPathFailure = 0.3;
constexpr double kPathDecaySeconds = 6;

// By then the list of servers has the server's new address or no longer has the
// server.
constexpr Duration kMisdirectedPause = seconds(1);

// A change is logged when the estimated probability that a server is in a
// period of failures crosses this value.
constexpr double kDoubtfulProbability = 0.5;

std::string ToPercent(double share) {
  return std::to_string(std::lround(share * 100));
}

}  // namespace

ServerDesk::ServerDesk(GatewayContext& context,
                       const ServerList& list,
                       OnReport on_report,
                       OnUnserved on_unserved)
    : context(context),
      list(list),
      on_report(std::move(on_report)),
      on_unserved(std::move(on_unserved)) {}

std::optional<ServerLease> ServerDesk::Take(const ServerWish& criteria) {
  const std::vector<std::string>& names = this->list.NamesOf(criteria.service);
  std::vector<PlacementCandidate> candidates(names.size());
  std::ranges::transform(names, candidates.begin(),
                         [&](const std::string& name) {
                           return this->ToCandidate(name, criteria);
                         });
  const PlacementNeed need{.may_repeat = criteria.may_repeat,
                           .is_bulk = criteria.is_bulk,
                           .usual_work = this->UsualWork(criteria.service),
                           .time_left = criteria.time_left};
  const auto chosen = this->Choose(candidates, need, criteria.service);
  if (!chosen) {
    return std::nullopt;
  }
  const std::string& server = names[*chosen];
  const RosterEntry& entry = this->list.roster().servers.at(server);
  const TimePoint now = this->context.Now();
  if (now < entry.cold_until) {
    NoteSentToCold(this->pacer, server, now);
  }
  ServerState& state = this->StateOf(server);
  ++state.in_flight;
  ++state.sent_since_report;
  state.used_at = now;
  return ServerLease{
      .server = server,
      .service = criteria.service,
      .address = entry.listing.address,
      .taken_at = now,
      .failure_probability = candidates[*chosen].failure_probability,
      .load = candidates[*chosen].load};
}

std::optional<std::size_t> ServerDesk::Choose(
    const std::vector<PlacementCandidate>& candidates,
    const PlacementNeed& need,
    const std::string& service) {
  const auto trial = DrawTrial(candidates, need, this->TrafficOf(service),
                               this->context.random());
  return DrawServer(trial ? *trial : candidates, need, this->context.random());
}

ServiceTraffic ServerDesk::TrafficOf(const std::string& service) const {
  const auto rate_of = [&](const std::map<std::string, RateMeter>& rates) {
    const auto found = rates.find(service);
    return found == rates.end() ? 0
                                : RateAt(found->second, this->context.Now());
  };
  const std::size_t domains = FailureDomains(this->context.members).size();
  return {
      .served_per_second = rate_of(this->served_rates),
      .unserved_per_second = rate_of(this->unserved_rates),
      .near_share = 1 / static_cast<double>(std::max<std::size_t>(1, domains))};
}

void ServerDesk::Release(const ServerLease& reservation,
                         std::optional<Outcome> outcome,
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
  if (*outcome == Outcome::kServed && !was_queued) {
    this->UpdateProcessingTime(reservation);
  }
  this->UpdatePath(state, *outcome);
  this->on_report({reservation.server, *outcome, total});
}

void ServerDesk::Note(const ServerLease& reservation, Outcome outcome) {
  this->on_report({reservation.server, outcome, -1});
}

void ServerDesk::NoteMisdirected(const ServerLease& reservation) {
  this->StateOf(reservation.server).misdirected_until =
      this->context.Now() + kMisdirectedPause;
}

void ServerDesk::Learn(const OutcomeSummary& outcomes) {
  const TimePoint now = this->context.Now();
  for (const auto& [service, count] : outcomes.unserved_by_service) {
    CountEvents(this->unserved_rates[service], static_cast<double>(count), now);
  }
  for (const auto& [server, summary] : outcomes.servers) {
    const auto listed = this->list.roster().servers.find(server);
    if (listed == this->list.roster().servers.end()) {
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
      if (outcome == Outcome::kServed || outcome == Outcome::kOverdue) {
        CountEvents(state.rate, static_cast<double>(count), now);
      }
      if (outcome == Outcome::kServed) {
        CountEvents(this->served_rates[listed->second.listing.service],
                    static_cast<double>(count), now);
      }
      this->UpdateBelief(server, outcome, count, summary.newest_at);
    }
  }
}

void ServerDesk::Forget(const std::string& server) {
  this->states.erase(server);
}

Duration ServerDesk::UsualWork(const std::string& service) const {
  const auto found = this->typical_processing_times.find(service);
  return found == this->typical_processing_times.end() ? kInitialProcessingTime
                                                       : found->second;
}

ServerDesk::ServerState& ServerDesk::StateOf(const std::string& server) {
  const auto found = this->states.find(server);
  if (found != this->states.end()) {
    return found->second;
  }
  ServerState state;
  state.belief = MakeServerBelief(this->model, this->context.Now());
  return this->states.emplace(server, state).first->second;
}

PlacementCandidate ServerDesk::ToCandidate(const std::string& server,
                                           const ServerWish& criteria) {
  const RosterEntry& entry = this->list.roster().servers.at(server);
  const ServerState& state = this->StateOf(server);
  return {.failure_probability = this->CombinedFailureProbability(state),
          .load = this->CurrentLoad(state),
          .busy_share = this->BusyShare(state, entry),
          .slots = std::max(1L, entry.listing.slots),
          .is_cold = this->context.Now() < entry.cold_until,
          .is_near = entry.listing.failure_domain ==
                     this->context.settings.failure_domain,
          .is_permitted = this->IsPermitted(server, entry, criteria),
          .unused = this->context.Now() - state.used_at};
}

double ServerDesk::CurrentLoad(const ServerState& state) const {
  const double age = ToSeconds(this->context.Now() - state.reported_at);
  return state.reported_load * std::exp(-age / kLoadDecaySeconds) +
         static_cast<double>(
             std::min(state.in_flight, state.sent_since_report));
}

// By Little's law, the number of busy slots is the request rate times the
// processing time.
double ServerDesk::BusyShare(const ServerState& state,
                             const RosterEntry& entry) const {
  const double busy_slots = RateAt(state.rate, this->context.Now()) *
                            ToSeconds(this->UsualWork(entry.listing.service));
  return busy_slots / static_cast<double>(std::max(1L, entry.listing.slots));
}

double ServerDesk::CombinedFailureProbability(const ServerState& state) const {
  const TimePoint now = this->context.Now();
  const double server_failure =
      FailureProbability(Fade(state.belief, this->model, now), this->model);
  const double path_failure =
      state.path_failure_probability *
      std::exp(-ToSeconds(now - state.path_updated_at) / kPathDecaySeconds);
  return 1 - (1 - server_failure) * (1 - path_failure);
}

bool ServerDesk::IsPermitted(const std::string& server,
                             const RosterEntry& entry,
                             const ServerWish& criteria) {
  const TimePoint now = this->context.Now();
  if (!MayReceiveWork(this->list.roster(), entry) ||
      criteria.tried.contains(server) ||
      now < this->StateOf(server).misdirected_until) {
    return false;
  }
  return now >= entry.cold_until ||
         MaySendToCold(this->pacer, this->ColdBoundOf(criteria.service),
                       this->context.settings.name,
                       AllMemberNames(this->context.members), server, now);
}

ColdBound ServerDesk::ColdBoundOf(const std::string& service) const {
  const FleetBounds& bounds = this->context.settings.bounds;
  const ServiceTerms& terms =
      ServiceTermsOf(this->context.routing->configuration(), service);
  return {terms.cold_requests_per_second, bounds.cold_overshoot,
          bounds.cold_slack};
}

void ServerDesk::UpdateBelief(const std::string& server,
                              Outcome outcome,
                              long count,
                              TimePoint at) {
  ServerState& state = this->StateOf(server);
  const double before = state.belief.spell_probability;
  state.belief = LearnRepeated(state.belief, this->model, outcome, count,
                               std::max(at, state.belief.updated_at));
  const double after = state.belief.spell_probability;
  const bool is_doubtful = after >= kDoubtfulProbability;
  if (is_doubtful != (before >= kDoubtfulProbability)) {
    LogEvent(LogLevel::kInfo, "belief",
             {{"server", server},
              {"doubtful", is_doubtful ? "yes" : "no"},
              {"spell_percent", ToPercent(after)},
              {"before_percent", ToPercent(before)},
              {"outcome", std::string(OutcomeName(outcome))}});
  }
}

void ServerDesk::UpdatePath(ServerState& state, Outcome outcome) {
  state.path_updated_at = this->context.Now();
  switch (outcome) {
    case Outcome::kUnreachable:
      state.path_failure_probability = kUnreachablePathFailure;
      return;
    case Outcome::kBroken:
    case Outcome::kOverdue:
      state.path_failure_probability =
          std::max(state.path_failure_probability, kBrokenPathFailure);
      return;
    case Outcome::kServed:
    case Outcome::kFailed:
    case Outcome::kShed:
      state.path_failure_probability = 0;
      return;
  }
}

void ServerDesk::UpdateProcessingTime(const ServerLease& reservation) {
  const Duration elapsed = this->context.Now() - reservation.taken_at;
  const Duration typical = this->UsualWork(reservation.service);
  this->typical_processing_times[reservation.service] =
      typical + std::chrono::duration_cast<Duration>((elapsed - typical) *
                                                     kProcessingTimeWeight);
}

}  // namespace parsleyquay
