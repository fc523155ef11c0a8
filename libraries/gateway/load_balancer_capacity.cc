// The part of LoadBalancer that estimates what a service can take now.

#include <algorithm>
#include <cmath>

#include "gateway/load_balancer.h"

namespace parsleyquay {

namespace {

// Servers in use report their load at least this often to each instance, in
// digests. An older report says less and less.
constexpr Duration kReportInterval = seconds(1);
constexpr double kOldReportDecaySeconds = 0.4;

// A server that has just started takes about twice the usual time.
constexpr double kColdCapacity = 0.5;

}  // namespace

void LoadBalancer::PauseServer(const ServerReservation& reservation,
                               Duration pause) {
  TimePoint& paused_until = this->StateOf(reservation.server).paused_until;
  paused_until = std::max(paused_until, this->context.Now() + pause);
}

bool LoadBalancer::IsPaused(const std::string& server) const {
  const auto found = this->states.find(server);
  return found != this->states.end() &&
         this->context.Now() < found->second.paused_until;
}

// Returns the load that the server last reported, and the requests that this
// instance has sent to it since. In contrast to the load that placement uses,
// it does not decay between two digests.
double LoadBalancer::ReportedLoadOf(const ServerState& state) const {
  const double old_age = std::max(
      0., ToSeconds(this->context.Now() - state.reported_at - kReportInterval));
  return state.reported_load * std::exp(-old_age / kOldReportDecaySeconds) +
         static_cast<double>(
             std::min(state.in_flight, state.sent_since_report));
}

ServiceCapacity LoadBalancer::EstimateCapacity(
    const std::string& service) const {
  const TimePoint now = this->context.Now();
  const ServerRoster& roster = this->discovery.roster();
  static const ServerState unknown_state;
  ServiceCapacity usable;
  ServiceCapacity paused;
  std::optional<TimePoint> pause_end;
  for (const std::string& server : this->discovery.ServersOfService(service)) {
    const RosterEntry& entry = roster.servers.at(server);
    const auto found = this->states.find(server);
    const bool is_known = found != this->states.end();
    const ServerState& state = is_known ? found->second : unknown_state;
    if (!MayReceiveRequests(roster, entry) || now < state.misdirected_until) {
      continue;
    }
    const bool is_paused = now < state.paused_until;
    if (is_paused) {
      pause_end = pause_end ? std::min(*pause_end, state.paused_until)
                            : state.paused_until;
    }
    const double weight =
        is_known ? 1 - this->CombinedFailureProbability(state) : 1;
    const double slots = static_cast<double>(std::max(1L, entry.listing.slots));
    AddServer(
        is_paused ? paused : usable,
        {.slots = weight * slots * (now < entry.cold_until ? kColdCapacity : 1),
         .load = weight * this->ReportedLoadOf(state),
         .completions_per_second = RateAt(state.rate, now)});
  }
  const bool is_pausing = usable.slots == 0 && pause_end;
  ServiceCapacity capacity = is_pausing ? paused : usable;
  capacity.service_time = this->ExpectedServiceTime(service);
  capacity.pause_left = is_pausing ? *pause_end - now : Duration(0);
  const auto rate_of = [&](const std::map<std::string, RateMeter>& rates) {
    const auto found_rate = rates.find(service);
    return found_rate == rates.end() ? 0 : RateAt(found_rate->second, now);
  };
  const double attempts = rate_of(this->attempt_rates);
  capacity.shed_share =
      attempts > 0 ? std::min(1., rate_of(this->shed_rates) / attempts) : 0;
  capacity.instance_share = InstanceShare(
      rate_of(this->own_rates),
      capacity.completions_per_second + rate_of(this->failed_request_rates),
      this->context.member_count());
  return capacity;
}

}  // namespace parsleyquay
