#include "entry/server_pool.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <numeric>

#include "balancing/server_subset.h"
#include "base/median.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kMinListInterval = milliseconds(1'000);
constexpr Duration kListIntervalPerMember = milliseconds(5);
constexpr Duration kSlowCheckInterval = milliseconds(25);
constexpr Duration kRestartLimitTime = milliseconds(1'500);
constexpr Duration kDrainingRetention = seconds(10);
constexpr int kMaxSlowMarks = 4;
constexpr long kRecentStartUptimeMs = 3'000;
constexpr long kUptimeToleranceMs = 500;

std::optional<long> ParseNumberHeader(const HeaderList& headers,
                                      std::string_view name) {
  const std::string* text = FindHeader(headers, name);
  if (!text) {
    return std::nullopt;
  }
  long number = 0;
  const auto parsed =
      std::from_chars(text->data(), text->data() + text->size(), number);
  return parsed.ec == std::errc() ? std::optional(number) : std::nullopt;
}

}  // namespace

ServerPool::ServerPool(EntryContext& context)
    : context(context),
      poll_timer(context.loop, [this] { this->PollServerList(); }),
      slow_timer(context.loop, [this] { this->MarkSlowAttempts(); }) {}

void ServerPool::Start() {
  this->PollServerList();
  this->slow_timer.StartRepeating(kSlowCheckInterval);
}

void ServerPool::PollServerList() {
  const auto members =
      static_cast<long>(this->context.fleet.view.members.size());
  this->poll_timer.StartOnce(
      std::max(kMinListInterval, kListIntervalPerMember * members));
  if (this->is_polling) {
    return;
  }
  this->is_polling = true;
  this->context.platform.ReadServers(
      [this](std::optional<std::vector<ListedServer>> list) {
        this->is_polling = false;
        if (list) {
          this->OnServerList(*list);
        }
      });
}

void ServerPool::OnServerList(const std::vector<ListedServer>& list) {
  if (this->has_read_list && list == this->last_list) {
    return;
  }
  this->last_list = list;
  this->subsets.clear();
  for (auto& [name, state] : this->servers) {
    state.is_listed = false;
  }
  for (const ListedServer& server : list) {
    const auto [entry, is_added] = this->servers.try_emplace(server.name);
    ServerState& state = entry->second;
    const bool has_moved = state.listing.address != server.address;
    state.listing = server;
    state.is_listed = true;
    if (is_added || has_moved) {
      state.is_new = this->has_read_list;
      state.limit = MakeConcurrencyLimit(
          server.slots, this->context.settings.max_connections_per_server,
          kInstancesPerServer);
    }
  }
  this->has_read_list = true;
  std::erase_if(this->servers, [&](const auto& entry) {
    return entry.second.in_flight == 0 && !entry.second.is_listed;
  });
  this->GroupByService();
}

void ServerPool::GroupByService() {
  this->servers_by_service.clear();
  for (auto& [name, state] : this->servers) {
    this->servers_by_service[state.listing.service].push_back(&state);
  }
}

std::span<ServerPool::ServerState* const> ServerPool::ServersOf(
    const std::string& service) const {
  const auto found = this->servers_by_service.find(service);
  return found == this->servers_by_service.end()
             ? std::span<ServerState* const>()
             : std::span<ServerState* const>(found->second);
}

bool ServerPool::IsOutOfService(const ServerState& state) const {
  return !state.is_listed || this->context.Now() < state.draining_until ||
         state.listing.state == InstanceState::kLeaving ||
         this->context.fleet.withdrawn_domains.contains(
             state.listing.failure_domain);
}

bool ServerPool::IsPermitted(const ServerState& state,
                             const ServiceVerdict& verdict) const {
  if (this->IsOutOfService(state)) {
    return false;
  }
  const auto found = verdict.servers.find(state.listing.name);
  const bool is_limited_here =
      state.is_new || this->context.Now() < state.limited_until;
  if (found == verdict.servers.end()) {
    // The verdict does not name this server. If it is new or has restarted,
    // only one instance, chosen by rendezvous hashing, may try it.
    return !is_limited_here ||
           IsAmongTopRanked(this->context.settings.name, state.listing.name,
                            this->context.membership.names, 1);
  }
  if (found->second.mode == ServerMode::kEjected) {
    return false;
  }
  return found->second.mode == ServerMode::kActive ||
         std::ranges::find(found->second.permitted_instances,
                           this->context.settings.name) !=
             found->second.permitted_instances.end();
}

ServerCandidate ServerPool::ToCandidate(const ServerState& state,
                                        const ServiceVerdict& verdict,
                                        Duration usual_latency) const {
  const auto found = verdict.servers.find(state.listing.name);
  const bool is_limited = state.is_new ||
                          this->context.Now() < state.limited_until ||
                          (found != verdict.servers.end() &&
                           found->second.mode == ServerMode::kLimited);
  return {state.listing.name,
          state.in_flight,
          is_limited ? 1 : RoundedDownLimit(state.limit),
          state.reported_load,
          this->context.Now() - state.reported_at,
          DecayedLatency(state.latency, usual_latency,
                         this->context.Now() - state.latency_at),
          this->IsPermitted(state, verdict)};
}

const std::vector<std::string>& ServerPool::SubsetOf(
    const std::string& service) {
  const auto cached = this->subsets.find(service);
  if (cached != this->subsets.end()) {
    return cached->second;
  }
  std::vector<SubsetServer> usable;
  for (const ServerState* state : this->ServersOf(service)) {
    if (!this->IsOutOfService(*state)) {
      usable.push_back({state->listing.name, state->listing.failure_domain});
    }
  }
  return this->subsets[service] = ChooseSubset(
             this->context.settings.name, this->context.membership.names.size(),
             std::move(usable));
}

std::optional<ServerReservation> ServerPool::Acquire(
    const std::string& service,
    const std::vector<std::string>& failed_servers) {
  ServiceState& service_state = this->services[service];
  service_state.has_unreported_use = true;
  const Duration usual_latency = this->MedianLatency(service);
  std::vector<ServerCandidate> candidates;
  const auto add_candidate = [&](const std::string& name) {
    const auto state = this->servers.find(name);
    if (state == this->servers.end()) {
      return;
    }
    ServerCandidate candidate =
        this->ToCandidate(state->second, service_state.verdict, usual_latency);
    candidates.push_back(std::move(candidate));
  };
  std::ranges::for_each(this->SubsetOf(service), add_candidate);
  // A limited server may be used by the instances that the verdict permits,
  // even if it is not in their subset.
  for (const auto& [name, verdict] : service_state.verdict.servers) {
    const auto& subset = this->SubsetOf(service);
    if (verdict.mode == ServerMode::kLimited &&
        std::ranges::find(subset, name) == subset.end()) {
      add_candidate(name);
    }
  }
  const auto has_failed_request = [&](const ServerCandidate& candidate) {
    return std::ranges::find(failed_servers, candidate.name) !=
           failed_servers.end();
  };
  const bool has_other =
      std::ranges::any_of(candidates, [&](const ServerCandidate& candidate) {
        return candidate.is_usable && !has_failed_request(candidate);
      });
  if (has_other) {
    std::erase_if(candidates, has_failed_request);
  }
  const std::optional<std::size_t> chosen =
      ChooseServer(candidates, this->context.random());
  if (!chosen) {
    return std::nullopt;
  }
  ServerState& state = this->servers[candidates[*chosen].name];
  ++state.in_flight;
  const ServerReservation reservation{++this->next_reservation_id,
                                      state.listing.name, service,
                                      state.listing.address};
  this->attempts[reservation.id] = {this->context.Now(), state.listing.name,
                                    false, 0};
  return reservation;
}

void ServerPool::RecordUptime(ServerState& state, const HeaderList& headers) {
  const std::optional<long> uptime = ParseNumberHeader(headers, "X-Uptime-Ms");
  if (!uptime) {
    return;
  }
  // Responses may arrive out of order, so a decrease within the tolerance is no
  // sign of a restart.
  const bool has_restarted = *uptime + kUptimeToleranceMs < state.uptime_ms;
  const bool has_started_recently =
      state.uptime_ms < 0 && *uptime < kRecentStartUptimeMs;
  if (has_restarted || has_started_recently) {
    state.evidence.has_restarted = true;
    state.limited_until = this->context.Now() + kRestartLimitTime;
    LogEvent(LogLevel::kInfo, "server_restarted",
             {{"server", state.listing.name},
              {"uptime_ms", std::to_string(*uptime)}});
  }
  state.uptime_ms =
      has_restarted ? *uptime : std::max(state.uptime_ms, *uptime);
}

void ServerPool::OnResponseHead(const ServerReservation& reservation,
                                const HeaderList& headers) {
  const auto attempt = this->attempts.find(reservation.id);
  const auto state = this->servers.find(reservation.server);
  if (attempt == this->attempts.end() || state == this->servers.end()) {
    return;
  }
  const TimePoint now = this->context.Now();
  const Duration latency = now - attempt->second.started_at;
  attempt->second.has_head = true;
  // Smooths from the decayed latency. Otherwise one quick response after a long
  // pause would restore the high latency measured before the pause.
  const Duration expected = DecayedLatency(
      state->second.latency, this->MedianLatency(reservation.service),
      now - state->second.latency_at);
  state->second.latency = SmoothLatency(expected, latency);
  state->second.latency_at = now;
  state->second.evidence.latency = state->second.latency;
  if (attempt->second.slow_marks == 0) {
    ++state->second.evidence.on_time;
  }
  state->second.limit = AdaptLimit(state->second.limit, latency,
                                   this->MedianLatency(reservation.service));
  if (const auto load = ParseNumberHeader(headers, "X-Load")) {
    state->second.reported_load = static_cast<double>(*load);
    state->second.reported_at = now;
  }
  if (FindHeader(headers, "X-Draining")) {
    state->second.draining_until = now + kDrainingRetention;
    this->subsets.clear();
  }
  this->RecordUptime(state->second, headers);
}

void ServerPool::Release(const ServerReservation& reservation,
                         AttemptEvidence evidence) {
  this->attempts.erase(reservation.id);
  const auto found = this->servers.find(reservation.server);
  if (found == this->servers.end()) {
    return;
  }
  ServerState& state = found->second;
  --state.in_flight;
  switch (evidence) {
    case AttemptEvidence::kResponseReceived:
      ++state.evidence.answered;
      return;
    case AttemptEvidence::kError:
      ++state.evidence.errors;
      return;
    case AttemptEvidence::kShed:
      state.limit = AdaptLimitAfterShed(state.limit);
      return;
    case AttemptEvidence::kNone:
      return;
  }
}

// Gives slow marks to requests that still wait for the head of their response:
// one beyond the service's slow threshold, another each time the wait doubles.
void ServerPool::MarkSlowAttempts() {
  const TimePoint now = this->context.Now();
  for (auto& [id, attempt] : this->attempts) {
    const auto state = this->servers.find(attempt.server);
    if (attempt.has_head || attempt.slow_marks >= kMaxSlowMarks ||
        state == this->servers.end()) {
      continue;
    }
    const auto service = this->services.find(state->second.listing.service);
    const Duration threshold = service == this->services.end()
                                   ? Duration(0)
                                   : service->second.verdict.slow_threshold;
    const Duration next_mark = threshold * (1 << attempt.slow_marks);
    if (threshold > Duration(0) && now - attempt.started_at > next_mark) {
      state->second.evidence.slow_requests += attempt.slow_marks == 0 ? 1 : 0;
      ++attempt.slow_marks;
      ++state->second.evidence.slow_marks;
    }
  }
}

void ServerPool::SetVerdict(const std::string& service,
                            const ServiceVerdict& verdict) {
  this->services[service].verdict = verdict;
  for (ServerState* state : this->ServersOf(service)) {
    // From here on the service's owner limits new servers by its verdict.
    state->is_new = false;
  }
}

ServiceEvidence ServerPool::TakeEvidence(const std::string& service) {
  ServiceEvidence evidence;
  for (ServerState* state : this->ServersOf(service)) {
    if (state->evidence != ServerEvidence{}) {
      evidence[state->listing.name] = state->evidence;
      state->evidence = ServerEvidence{};
    }
  }
  this->services[service].has_unreported_use = false;
  return evidence;
}

ReportCandidate ServerPool::PendingReport(const std::string& service) const {
  ReportCandidate candidate;
  candidate.service = service;
  for (const ServerState* state : this->ServersOf(service)) {
    candidate.unreported_bad +=
        state->evidence.errors + state->evidence.slow_marks;
    candidate.has_restart |= state->evidence.has_restarted;
  }
  return candidate;
}

std::vector<std::string> ServerPool::ActiveServices() const {
  std::vector<std::string> active;
  for (const auto& [name, state] : this->services) {
    if (state.has_unreported_use) {
      active.push_back(name);
    }
  }
  return active;
}

std::vector<RosterServer> ServerPool::Roster(const std::string& service) const {
  std::vector<RosterServer> roster;
  for (const ServerState* state : this->ServersOf(service)) {
    if (state->is_listed) {
      roster.push_back({state->listing.name, state->listing.slots,
                        this->IsOutOfService(*state), state->is_new});
    }
  }
  return roster;
}

long ServerPool::CountRestrictedServers() const {
  return std::accumulate(this->services.begin(), this->services.end(), 0L,
                         [](long sum, const auto& entry) {
                           return sum +
                                  std::ssize(entry.second.verdict.servers);
                         });
}

Duration ServerPool::MedianLatency(const std::string& service) const {
  std::vector<Duration> latencies;
  for (const ServerState* state : this->ServersOf(service)) {
    if (state->latency > Duration(0)) {
      latencies.push_back(state->latency);
    }
  }
  return MedianOf(std::move(latencies));
}

}  // namespace parsleyquay
