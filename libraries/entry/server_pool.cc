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

constexpr Duration kLeastListInterval = milliseconds(1'000);
constexpr Duration kListIntervalPerMember = milliseconds(5);
constexpr Duration kSlowCheckInterval = milliseconds(25);
constexpr Duration kCarefulTime = milliseconds(1'500);
constexpr Duration kDrainingMemory = seconds(10);
constexpr int kMostSlowMarks = 4;
constexpr long kYoungServerMs = 3'000;
constexpr long kUptimeTolerance = 500;  // milliseconds

std::optional<long> ReadNumber(const HeaderList& headers,
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
      poll_timer(context.loop, [this] { this->Poll(); }),
      slow_timer(context.loop, [this] { this->MarkSlowAttempts(); }) {}

void ServerPool::Start() {
  this->Poll();
  this->slow_timer.StartRepeating(kSlowCheckInterval);
}

void ServerPool::Poll() {
  const auto members =
      static_cast<long>(this->context.fleet.view.members.size());
  this->poll_timer.StartOnce(
      std::max(kLeastListInterval, kListIntervalPerMember * members));
  if (this->is_polling) {
    return;
  }
  this->is_polling = true;
  this->context.platform.ReadServers(
      [this](std::optional<std::vector<ListedServer>> list) {
        this->is_polling = false;
        if (list) {
          this->OnList(*list);
        }
      });
}

void ServerPool::OnList(const std::vector<ListedServer>& list) {
  if (this->has_read_list && list == this->listed) {
    return;
  }
  this->listed = list;
  this->subsets.clear();
  for (auto& [name, use] : this->uses) {
    use.is_listed = false;
  }
  for (const ListedServer& server : list) {
    const auto [entry, is_added] = this->uses.try_emplace(server.name);
    ServerUse& use = entry->second;
    const bool has_moved = use.listing.address != server.address;
    use.listing = server;
    use.is_listed = true;
    if (is_added || has_moved) {
      use.is_new = this->has_read_list;
      use.limit = MakeConcurrencyLimit(
          server.slots, this->context.settings.max_connections_per_server,
          kInstancesPerServer);
    }
  }
  this->has_read_list = true;
  std::erase_if(this->uses, [&](const auto& entry) {
    return entry.second.in_flight == 0 && !entry.second.is_listed;
  });
  this->GroupByService();
}

void ServerPool::GroupByService() {
  this->uses_by_service.clear();
  for (auto& [name, use] : this->uses) {
    this->uses_by_service[use.listing.service].push_back(&use);
  }
}

std::span<ServerPool::ServerUse* const> ServerPool::UsesOf(
    const std::string& service) const {
  const auto found = this->uses_by_service.find(service);
  return found == this->uses_by_service.end()
             ? std::span<ServerUse* const>()
             : std::span<ServerUse* const>(found->second);
}

bool ServerPool::IsOut(const ServerUse& use) const {
  return !use.is_listed || this->context.Now() < use.draining_until ||
         use.listing.state == InstanceState::kLeaving ||
         this->context.fleet.withdrawn_domains.contains(
             use.listing.failure_domain);
}

bool ServerPool::IsPermitted(const ServerUse& use,
                             const ServiceVerdict& verdict) const {
  if (this->IsOut(use)) {
    return false;
  }
  const auto found = verdict.servers.find(use.listing.name);
  const bool is_limited_here =
      use.is_new || this->context.Now() < use.careful_until;
  if (found == verdict.servers.end()) {
    // Not yet judged by the service's home: at most one instance tries it.
    return !is_limited_here ||
           IsAmongTopRanked(this->context.settings.name, use.listing.name,
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

ServerCandidate ServerPool::ToCandidate(const ServerUse& use,
                                        const ServiceVerdict& verdict,
                                        Duration usual_latency) const {
  const auto found = verdict.servers.find(use.listing.name);
  const bool is_limited = use.is_new ||
                          this->context.Now() < use.careful_until ||
                          (found != verdict.servers.end() &&
                           found->second.mode == ServerMode::kLimited);
  return {use.listing.name,
          use.in_flight,
          is_limited ? 1 : RoundedDownLimit(use.limit),
          use.reported_load,
          this->context.Now() - use.reported_at,
          DecayedLatency(use.latency, usual_latency,
                         this->context.Now() - use.latency_at),
          this->IsPermitted(use, verdict)};
}

const std::vector<std::string>& ServerPool::SubsetOf(
    const std::string& service) {
  const auto cached = this->subsets.find(service);
  if (cached != this->subsets.end()) {
    return cached->second;
  }
  std::vector<SubsetServer> usable;
  for (const ServerUse* use : this->UsesOf(service)) {
    if (!this->IsOut(*use)) {
      usable.push_back({use->listing.name, use->listing.failure_domain});
    }
  }
  return this->subsets[service] = ChooseSubset(
             this->context.settings.name, this->context.membership.names.size(),
             std::move(usable));
}

std::optional<ServerReservation> ServerPool::Acquire(
    const std::string& service,
    const std::vector<std::string>& avoid) {
  ServiceUse& service_use = this->services[service];
  service_use.was_used = true;
  const Duration usual_latency = this->MedianLatency(service);
  std::vector<ServerCandidate> candidates;
  const auto consider = [&](const std::string& name) {
    const auto use = this->uses.find(name);
    if (use == this->uses.end()) {
      return;
    }
    ServerCandidate candidate =
        this->ToCandidate(use->second, service_use.verdict, usual_latency);
    candidates.push_back(std::move(candidate));
  };
  std::ranges::for_each(this->SubsetOf(service), consider);
  // A limited server outside the subset is tried by the instances that the
  // home's allowance names, wherever their subsets lie.
  for (const auto& [name, verdict] : service_use.verdict.servers) {
    const auto& subset = this->SubsetOf(service);
    if (verdict.mode == ServerMode::kLimited &&
        std::ranges::find(subset, name) == subset.end()) {
      consider(name);
    }
  }
  const auto is_to_be_avoided = [&](const ServerCandidate& candidate) {
    return std::ranges::find(avoid, candidate.name) != avoid.end();
  };
  const bool has_other =
      std::ranges::any_of(candidates, [&](const ServerCandidate& candidate) {
        return candidate.is_usable && !is_to_be_avoided(candidate);
      });
  if (has_other) {
    std::erase_if(candidates, is_to_be_avoided);
  }
  const std::optional<std::size_t> chosen =
      ChooseServer(candidates, this->context.random());
  if (!chosen) {
    return std::nullopt;
  }
  ServerUse& use = this->uses[candidates[*chosen].name];
  ++use.in_flight;
  const ServerReservation reservation{
      ++this->next_reservation, use.listing.name, service, use.listing.address};
  this->attempts[reservation.id] = {this->context.Now(), use.listing.name,
                                    false, 0};
  return reservation;
}

void ServerPool::NoteUptime(ServerUse& use, const HeaderList& headers) {
  const std::optional<long> uptime = ReadNumber(headers, "X-Uptime-Ms");
  if (!uptime) {
    return;
  }
  // Answers may overtake each other, so a small step back is none.
  const bool has_restarted = *uptime + kUptimeTolerance < use.uptime_ms;
  const bool is_young = use.uptime_ms < 0 && *uptime < kYoungServerMs;
  if (has_restarted || is_young) {
    use.evidence.has_restarted = true;
    use.careful_until = this->context.Now() + kCarefulTime;
    LogEvent(
        LogLevel::kInfo, "server_restarted",
        {{"server", use.listing.name}, {"uptime_ms", std::to_string(*uptime)}});
  }
  use.uptime_ms = has_restarted ? *uptime : std::max(use.uptime_ms, *uptime);
}

void ServerPool::OnResponseHead(const ServerReservation& reservation,
                                const HeaderList& headers) {
  const auto attempt = this->attempts.find(reservation.id);
  const auto use = this->uses.find(reservation.server);
  if (attempt == this->attempts.end() || use == this->uses.end()) {
    return;
  }
  const TimePoint now = this->context.Now();
  const Duration latency = now - attempt->second.started_at;
  attempt->second.has_head = true;
  // Smoothing starts from the aged value: otherwise one quick answer after a
  // long time would bring an old slowness back.
  const Duration expected = DecayedLatency(
      use->second.latency, this->MedianLatency(reservation.service),
      now - use->second.latency_at);
  use->second.latency = SmoothLatency(expected, latency);
  use->second.latency_at = now;
  use->second.evidence.latency = use->second.latency;
  if (attempt->second.slow_marks == 0) {
    ++use->second.evidence.on_time;
  }
  use->second.limit = AdaptLimit(use->second.limit, latency,
                                 this->MedianLatency(reservation.service));
  if (const auto load = ReadNumber(headers, "X-Load")) {
    use->second.reported_load = static_cast<double>(*load);
    use->second.reported_at = now;
  }
  if (FindHeader(headers, "X-Draining")) {
    use->second.draining_until = now + kDrainingMemory;
    this->subsets.clear();
  }
  this->NoteUptime(use->second, headers);
}

void ServerPool::Release(const ServerReservation& reservation,
                         AttemptEvidence evidence) {
  this->attempts.erase(reservation.id);
  const auto found = this->uses.find(reservation.server);
  if (found == this->uses.end()) {
    return;
  }
  ServerUse& use = found->second;
  --use.in_flight;
  switch (evidence) {
    case AttemptEvidence::kResponseReceived:
      ++use.evidence.answered;
      return;
    case AttemptEvidence::kError:
      ++use.evidence.errors;
      return;
    case AttemptEvidence::kShed:
      use.limit = AdaptLimitAfterShed(use.limit);
      return;
    case AttemptEvidence::kNone:
      return;
  }
}

// A request that takes too long is evidence before it ends.
void ServerPool::MarkSlowAttempts() {
  const TimePoint now = this->context.Now();
  for (auto& [id, attempt] : this->attempts) {
    const auto use = this->uses.find(attempt.server);
    if (attempt.has_head || attempt.slow_marks >= kMostSlowMarks ||
        use == this->uses.end()) {
      continue;
    }
    const auto service = this->services.find(use->second.listing.service);
    const Duration threshold = service == this->services.end()
                                   ? Duration(0)
                                   : service->second.verdict.slow_threshold;
    const Duration next_mark = threshold * (1 << attempt.slow_marks);
    if (threshold > Duration(0) && now - attempt.started_at > next_mark) {
      use->second.evidence.slow_requests += attempt.slow_marks == 0 ? 1 : 0;
      ++attempt.slow_marks;
      ++use->second.evidence.slow_marks;
    }
  }
}

void ServerPool::SetVerdict(const std::string& service,
                            const ServiceVerdict& verdict) {
  this->services[service].verdict = verdict;
  for (ServerUse* use : this->UsesOf(service)) {
    // From here on the home meters what is new.
    use->is_new = false;
  }
}

ServiceEvidence ServerPool::TakeEvidence(const std::string& service) {
  ServiceEvidence evidence;
  for (ServerUse* use : this->UsesOf(service)) {
    if (use->evidence != ServerEvidence{}) {
      evidence[use->listing.name] = use->evidence;
      use->evidence = ServerEvidence{};
    }
  }
  this->services[service].was_used = false;
  return evidence;
}

ReportCandidate ServerPool::PendingReport(const std::string& service) const {
  ReportCandidate candidate;
  candidate.service = service;
  for (const ServerUse* use : this->UsesOf(service)) {
    candidate.unreported_bad += use->evidence.errors + use->evidence.slow_marks;
    candidate.has_restart |= use->evidence.has_restarted;
  }
  return candidate;
}

std::vector<std::string> ServerPool::ActiveServices() const {
  std::vector<std::string> active;
  for (const auto& [name, use] : this->services) {
    if (use.was_used) {
      active.push_back(name);
    }
  }
  return active;
}

std::vector<RosterServer> ServerPool::Roster(const std::string& service) const {
  std::vector<RosterServer> roster;
  for (const ServerUse* use : this->UsesOf(service)) {
    if (use->is_listed) {
      roster.push_back({use->listing.name, use->listing.slots,
                        this->IsOut(*use), use->is_new});
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
  for (const ServerUse* use : this->UsesOf(service)) {
    if (use->latency > Duration(0)) {
      latencies.push_back(use->latency);
    }
  }
  return MedianOf(std::move(latencies));
}

}  // namespace parsleyquay
