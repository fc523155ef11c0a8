#include "entry/health_coordinator.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "base/rendezvous.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(100);
// Longer than the time between two reports of an instance that uses hundreds
// of services.
constexpr Duration kReporterMemory = seconds(300);
constexpr Duration kReporterCountsAsBusy = seconds(5);
constexpr Duration kAskAgain = milliseconds(250);

std::string ModeName(ServerMode mode) {
  switch (mode) {
    case ServerMode::kActive:
      return "active";
    case ServerMode::kLimited:
      return "limited";
    case ServerMode::kEjected:
      return "ejected";
  }
  return "unknown";
}

std::string FormatDecimal(double value) {
  constexpr int kDecimals = 3;
  std::ostringstream text;
  text << std::fixed << std::setprecision(kDecimals) << value;
  return text.str();
}

// An operator can read from this why a server was taken out.
void LogEjection(const std::string& service,
                 const std::string& server,
                 const std::optional<FaultFinding>& finding) {
  if (!finding) {
    return;
  }
  LogEvent(LogLevel::kWarning, "server_ejected",
           {{"service", service},
            {"server", server},
            {"fault", ToString(finding->kind)},
            {"bad", FormatDecimal(finding->own.bad_marks)},
            {"all", FormatDecimal(finding->own.total_marks)},
            {"window_ms", std::to_string(ToMilliseconds(finding->window))},
            {"others_rate", FormatDecimal(finding->others_rate)},
            {"score", FormatDecimal(finding->score)}});
}

}  // namespace

HealthCoordinator::HealthCoordinator(
    EntryContext& context,
    ServerPool& pool,
    std::function<void(const std::string&)> on_verdict)
    : context(context),
      pool(pool),
      on_verdict(std::move(on_verdict)),
      timer(context.loop, [this] { this->Tick(); }) {}

void HealthCoordinator::Start() {
  this->timer.StartRepeating(kTickInterval);
}

const std::string& HealthCoordinator::OwnerOf(const std::string& service) {
  const View& view = this->context.fleet.view;
  if (view.version != this->owner_names_version) {
    this->owner_names.clear();
    this->owner_names_version = view.version;
  }
  const auto [entry, is_new] = this->owner_names.try_emplace(service);
  if (is_new) {
    const std::vector<std::string> owners =
        FindOwners("service " + service, ToPastMembers(view), 1);
    entry->second = owners.empty() ? "" : owners.front();
  }
  return entry->second;
}

double HealthCoordinator::FloorOf(const std::string& service) const {
  const auto& services = this->context.fleet.declaration.services;
  const auto found = services.find(service);
  return found == services.end() ? 100 : found->second.min_healthy_percent;
}

void HealthCoordinator::Tick() {
  std::vector<ReportCandidate> candidates;
  for (const std::string& service : this->pool.ActiveServices()) {
    candidates.push_back(this->PendingReport(service));
  }
  this->Send(
      ChooseReports(this->budget, std::move(candidates), this->context.Now()));
  std::erase_if(this->owner_states, [&](const auto& entry) {
    return !this->context.is_self(this->OwnerOf(entry.first));
  });
  for (auto& [service, state] : this->owner_states) {
    this->DecideFor(service, state);
  }
}

ReportCandidate HealthCoordinator::PendingReport(const std::string& service) {
  ReportCandidate candidate = this->pool.PendingReport(service);
  const Told& known = this->told[service];
  if (known.asked == this->OwnerOf(service)) {
    candidate.reported_at = known.asked_at;
  }
  return candidate;
}

void HealthCoordinator::Send(const ReportSchedule& schedule) {
  this->budget = schedule.budget;
  for (const std::string& service : schedule.services) {
    this->Report(service);
  }
}

void HealthCoordinator::ReportIfUrgent(const std::string& service) {
  this->Send(ChooseUrgentReport(this->budget, this->PendingReport(service),
                                this->context.Now()));
}

void HealthCoordinator::RequestVerdictIfStale(const std::string& service) {
  const Told& known = this->told[service];
  const Duration age = known.asked_at == TimePoint::min()
                           ? Duration::max()
                           : this->context.Now() - known.asked_at;
  // After kReporterMemory the home pushes no more changes to this instance.
  const bool is_forgotten = age >= kReporterMemory;
  if (is_forgotten || (!known.is_heard && age >= kAskAgain)) {
    this->Report(service);
  }
}

void HealthCoordinator::Report(const std::string& service) {
  const std::string& owner = this->OwnerOf(service);
  if (owner.empty()) {
    return;
  }
  Told& known = this->told[service];
  known.asked = owner;
  known.asked_at = this->context.Now();
  EvidenceReport report{this->context.settings.name,
                        this->context.settings.advertised_peer_address,
                        service,
                        this->pool.TakeEvidence(service),
                        {}};
  if (known.is_heard) {
    report.held_verdict = MakeVerdictFingerprint(known.notice.verdict);
  }
  if (this->context.is_self(owner)) {
    this->TakeIn(report);
    return;
  }
  this->context.peer_transport->Send(this->context.PeerAddressOf(owner),
                                     "report", ToJson(report));
}

void HealthCoordinator::OnReport(const Json::Value& parameters) {
  const EvidenceReport report = EvidenceReportFromJson(parameters);
  if (this->context.is_self(this->OwnerOf(report.service))) {
    this->TakeIn(report);
  }
}

HealthCoordinator::OwnerState& HealthCoordinator::OwnerStateFor(
    const std::string& service) {
  const auto [entry, is_new] = this->owner_states.try_emplace(service);
  if (is_new) {
    const auto known = this->told.find(service);
    const ServiceVerdict inherited = known == this->told.end()
                                         ? ServiceVerdict{}
                                         : known->second.notice.verdict;
    entry->second.health = MakeServiceHealth(inherited, this->context.Now());
    entry->second.verdict = inherited;
  }
  return entry->second;
}

void HealthCoordinator::TakeIn(const EvidenceReport& report) {
  OwnerState& state = this->OwnerStateFor(report.service);
  const TimePoint now = this->context.Now();
  state.reporters[report.sender] = {report.reply_address, now};
  std::erase_if(state.reporters, [&](const auto& entry) {
    return now - entry.second.heard_at > kReporterMemory;
  });
  state.health = ApplyEvidence(std::move(state.health), report.evidence, now);
  this->DecideFor(report.service, state);
  if (report.held_verdict &&
      !IsVerdictOutdated(*report.held_verdict, state.verdict)) {
    return;
  }
  const VerdictNotice notice = this->MakeNotice(report.service, state);
  if (this->context.is_self(report.sender)) {
    this->Apply(notice);
    return;
  }
  this->context.peer_transport->Send(report.reply_address, "verdict",
                                     ToJson(notice));
}

void HealthCoordinator::DecideFor(const std::string& service,
                                  OwnerState& state) {
  state.health =
      UpdateServerModes(std::move(state.health), this->pool.Roster(service),
                        this->FloorOf(service), this->context.Now());
  ServiceVerdict verdict = MakeVerdict(state.health);
  this->NamePermitted(state, verdict);
  const bool has_changed = verdict.servers != state.verdict.servers;
  if (has_changed) {
    ++state.sequence;
    ++this->context.counters.verdict_changes;
    this->NoteChanges(service, state, verdict);
  }
  std::swap(state.verdict, verdict);
  if (has_changed) {
    this->Push(service, state, verdict);
  }
}

void HealthCoordinator::NoteChanges(const std::string& service,
                                    const OwnerState& state,
                                    const ServiceVerdict& verdict) {
  for (const auto& [server, judged] : verdict.servers) {
    const auto before = state.verdict.servers.find(server);
    if (before != state.verdict.servers.end() && before->second == judged) {
      continue;
    }
    LogEvent(LogLevel::kInfo, "server_verdict",
             {{"service", service},
              {"server", server},
              {"mode", ModeName(judged.mode)},
              {"allowance", std::to_string(judged.max_instances)}});
    if (judged.mode == ServerMode::kEjected) {
      ++this->context.counters.ejections;
      LogEjection(service, server,
                  state.health.servers.at(server).last_ejection_cause);
    }
  }
}

// A limited server is used by instances that have work for the service, so
// that it is tried at all.
void HealthCoordinator::NamePermitted(const OwnerState& state,
                                      ServiceVerdict& verdict) {
  std::vector<std::string> busy;
  for (const auto& [name, reporter] : state.reporters) {
    if (this->context.Now() - reporter.heard_at <= kReporterCountsAsBusy) {
      busy.push_back(name);
    }
  }
  for (auto& [server, judged] : verdict.servers) {
    if (judged.mode != ServerMode::kLimited) {
      continue;
    }
    judged.permitted_instances = RankByRendezvous(server, busy);
    const auto max_instances = static_cast<std::size_t>(judged.max_instances);
    judged.permitted_instances.resize(
        std::min(judged.permitted_instances.size(), max_instances));
  }
}

VerdictNotice HealthCoordinator::MakeNotice(const std::string& service,
                                            const OwnerState& state) const {
  return {service, this->context.fleet.view.version, state.sequence,
          state.verdict};
}

// Each step of a server's return concerns only the instances that it lets in
// or out; the others need not hear of it.
void HealthCoordinator::Push(const std::string& service,
                             const OwnerState& state,
                             const ServiceVerdict& before) {
  const VerdictNotice notice = this->MakeNotice(service, state);
  for (const auto& [name, reporter] : state.reporters) {
    const bool is_member = this->context.fleet.view.members.contains(name);
    const bool is_concerned =
        RestrictionsFor(name, before) != RestrictionsFor(name, state.verdict);
    if (is_member && is_concerned && !this->context.is_self(name)) {
      this->context.peer_transport->Send(reporter.address, "verdict",
                                         ToJson(notice));
    }
  }
  this->Apply(notice);
}

void HealthCoordinator::OnVerdict(const Json::Value& parameters) {
  this->Apply(VerdictNoticeFromJson(parameters));
}

void HealthCoordinator::Apply(const VerdictNotice& notice) {
  Told& told = this->told[notice.service];
  const VerdictNotice& last = told.notice;
  const bool is_outdated = notice.view_version < last.view_version ||
                           (notice.view_version == last.view_version &&
                            notice.sequence < last.sequence);
  if (is_outdated) {
    return;
  }
  const bool has_changed = notice.verdict != last.verdict || !told.is_heard;
  told.notice = notice;
  told.is_heard = true;
  if (!has_changed) {
    return;
  }
  this->pool.SetVerdict(
      notice.service,
      EnforceHealthyFloor(notice.verdict, this->pool.Roster(notice.service),
                          this->FloorOf(notice.service)));
  this->on_verdict(notice.service);
}

}  // namespace parsleyquay
