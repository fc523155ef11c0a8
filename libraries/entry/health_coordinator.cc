#include "entry/health_coordinator.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "base/rendezvous.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kTickInterval = milliseconds(100);
// Longer than the interval between two reports on a service by an instance that
// uses hundreds of services.
constexpr Duration kReporterRetention = seconds(300);
constexpr Duration kBusyReporterAge = seconds(5);
constexpr Duration kVerdictRequestInterval = milliseconds(250);

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

// Logs the evidence that led to an ejection, for operators.
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

double HealthCoordinator::MinHealthyPercentOf(
    const std::string& service) const {
  const auto& services = this->context.fleet.declaration.services;
  const auto found = services.find(service);
  return found == services.end() ? 100 : found->second.min_healthy_percent;
}

void HealthCoordinator::Tick() {
  std::vector<ReportCandidate> candidates;
  for (const std::string& service : this->pool.ActiveServices()) {
    candidates.push_back(this->PendingReport(service));
  }
  this->SendReports(
      ChooseReports(this->budget, std::move(candidates), this->context.Now()));
  std::erase_if(this->owned_services, [&](const auto& entry) {
    return !this->context.is_self(this->OwnerOf(entry.first));
  });
  for (auto& [service, owned] : this->owned_services) {
    this->UpdateVerdict(service, owned);
  }
}

ReportCandidate HealthCoordinator::PendingReport(const std::string& service) {
  ReportCandidate candidate = this->pool.PendingReport(service);
  const ReceivedVerdict& received = this->received_verdicts[service];
  if (received.last_report_owner == this->OwnerOf(service)) {
    candidate.reported_at = received.last_report_at;
  }
  return candidate;
}

void HealthCoordinator::SendReports(const ReportSchedule& schedule) {
  this->budget = schedule.budget;
  for (const std::string& service : schedule.services) {
    this->SendReport(service);
  }
}

void HealthCoordinator::ReportIfUrgent(const std::string& service) {
  this->SendReports(ChooseUrgentReport(
      this->budget, this->PendingReport(service), this->context.Now()));
}

void HealthCoordinator::RequestVerdictIfStale(const std::string& service) {
  const ReceivedVerdict& received = this->received_verdicts[service];
  const Duration age = received.last_report_at == TimePoint::min()
                           ? Duration::max()
                           : this->context.Now() - received.last_report_at;
  // After kReporterRetention without a report, the owner no longer sends
  // changes to this instance.
  const bool is_report_outdated = age >= kReporterRetention;
  if (is_report_outdated ||
      (!received.has_notice && age >= kVerdictRequestInterval)) {
    this->SendReport(service);
  }
}

void HealthCoordinator::SendReport(const std::string& service) {
  const std::string& owner = this->OwnerOf(service);
  if (owner.empty()) {
    return;
  }
  ReceivedVerdict& received = this->received_verdicts[service];
  received.last_report_owner = owner;
  received.last_report_at = this->context.Now();
  EvidenceReport report{this->context.settings.name,
                        this->context.settings.advertised_peer_address,
                        service,
                        this->pool.TakeEvidence(service),
                        {}};
  if (received.has_notice) {
    report.held_verdict = MakeVerdictFingerprint(received.notice.verdict);
  }
  if (this->context.is_self(owner)) {
    this->ApplyReport(report);
    return;
  }
  this->context.peer_transport->Send(this->context.PeerAddressOf(owner),
                                     "report", ToJson(report));
}

void HealthCoordinator::OnReport(const Json::Value& parameters) {
  const EvidenceReport report = EvidenceReportFromJson(parameters);
  if (this->context.is_self(this->OwnerOf(report.service))) {
    this->ApplyReport(report);
  }
}

HealthCoordinator::OwnedService& HealthCoordinator::FindOrAddOwnedService(
    const std::string& service) {
  const auto [entry, is_new] = this->owned_services.try_emplace(service);
  if (is_new) {
    const auto received = this->received_verdicts.find(service);
    const ServiceVerdict inherited = received == this->received_verdicts.end()
                                         ? ServiceVerdict{}
                                         : received->second.notice.verdict;
    entry->second.health = MakeServiceHealth(inherited, this->context.Now());
    entry->second.verdict = inherited;
  }
  return entry->second;
}

void HealthCoordinator::ApplyReport(const EvidenceReport& report) {
  OwnedService& owned = this->FindOrAddOwnedService(report.service);
  const TimePoint now = this->context.Now();
  owned.reporters[report.sender] = {report.reply_address, now};
  std::erase_if(owned.reporters, [&](const auto& entry) {
    return now - entry.second.last_report_at > kReporterRetention;
  });
  owned.health = ApplyEvidence(std::move(owned.health), report.evidence, now);
  this->UpdateVerdict(report.service, owned);
  if (report.held_verdict &&
      !IsVerdictOutdated(*report.held_verdict, owned.verdict)) {
    return;
  }
  const VerdictNotice notice = this->MakeNotice(report.service, owned);
  if (this->context.is_self(report.sender)) {
    this->ApplyNotice(notice);
    return;
  }
  this->context.peer_transport->Send(report.reply_address, "verdict",
                                     ToJson(notice));
}

void HealthCoordinator::UpdateVerdict(const std::string& service,
                                      OwnedService& owned) {
  owned.health = UpdateServerModes(
      std::move(owned.health), this->pool.Roster(service),
      this->MinHealthyPercentOf(service), this->context.Now());
  ServiceVerdict verdict = MakeVerdict(owned.health);
  this->ChoosePermittedInstances(owned, verdict);
  const bool has_changed = verdict.servers != owned.verdict.servers;
  if (has_changed) {
    ++owned.sequence;
    ++this->context.counters.verdict_changes;
    this->RecordChanges(service, owned, verdict);
  }
  std::swap(owned.verdict, verdict);
  if (has_changed) {
    this->NotifyReporters(service, owned, verdict);
  }
}

void HealthCoordinator::RecordChanges(const std::string& service,
                                      const OwnedService& owned,
                                      const ServiceVerdict& verdict) {
  for (const auto& [server, server_verdict] : verdict.servers) {
    const auto before = owned.verdict.servers.find(server);
    if (before != owned.verdict.servers.end() &&
        before->second == server_verdict) {
      continue;
    }
    LogEvent(LogLevel::kInfo, "server_verdict",
             {{"service", service},
              {"server", server},
              {"mode", ModeName(server_verdict.mode)},
              {"allowance", std::to_string(server_verdict.max_instances)}});
    if (server_verdict.mode == ServerMode::kEjected) {
      ++this->context.counters.ejections;
      LogEjection(service, server,
                  owned.health.servers.at(server).last_ejection_cause);
    }
  }
}

// Permits limited servers only to instances that have reported on the service
// within kBusyReporterAge. An instance without requests for the service would
// not try the server.
void HealthCoordinator::ChoosePermittedInstances(const OwnedService& owned,
                                                 ServiceVerdict& verdict) {
  std::vector<std::string> busy;
  for (const auto& [name, reporter] : owned.reporters) {
    if (this->context.Now() - reporter.last_report_at <= kBusyReporterAge) {
      busy.push_back(name);
    }
  }
  for (auto& [server, server_verdict] : verdict.servers) {
    if (server_verdict.mode != ServerMode::kLimited) {
      continue;
    }
    server_verdict.permitted_instances = RankByRendezvous(server, busy);
    const auto max_instances =
        static_cast<std::size_t>(server_verdict.max_instances);
    server_verdict.permitted_instances.resize(
        std::min(server_verdict.permitted_instances.size(), max_instances));
  }
}

VerdictNotice HealthCoordinator::MakeNotice(const std::string& service,
                                            const OwnedService& owned) const {
  return {service, this->context.fleet.view.version, owned.sequence,
          owned.verdict};
}

// Sends the verdict only to instances whose own restrictions have changed.
// While a server returns to use step by step, each step permits or excludes
// only a few instances.
void HealthCoordinator::NotifyReporters(const std::string& service,
                                        const OwnedService& owned,
                                        const ServiceVerdict& before) {
  const VerdictNotice notice = this->MakeNotice(service, owned);
  for (const auto& [name, reporter] : owned.reporters) {
    const bool is_member = this->context.fleet.view.members.contains(name);
    const bool is_affected =
        RestrictionsFor(name, before) != RestrictionsFor(name, owned.verdict);
    if (is_member && is_affected && !this->context.is_self(name)) {
      this->context.peer_transport->Send(reporter.address, "verdict",
                                         ToJson(notice));
    }
  }
  this->ApplyNotice(notice);
}

void HealthCoordinator::OnVerdict(const Json::Value& parameters) {
  this->ApplyNotice(VerdictNoticeFromJson(parameters));
}

void HealthCoordinator::ApplyNotice(const VerdictNotice& notice) {
  ReceivedVerdict& received = this->received_verdicts[notice.service];
  const VerdictNotice& last = received.notice;
  const bool is_outdated = notice.view_version < last.view_version ||
                           (notice.view_version == last.view_version &&
                            notice.sequence < last.sequence);
  if (is_outdated) {
    return;
  }
  const bool has_changed =
      notice.verdict != last.verdict || !received.has_notice;
  received.notice = notice;
  received.has_notice = true;
  if (!has_changed) {
    return;
  }
  this->pool.SetVerdict(
      notice.service,
      EnforceHealthyFloor(notice.verdict, this->pool.Roster(notice.service),
                          this->MinHealthyPercentOf(notice.service)));
  this->on_verdict(notice.service);
}

}  // namespace parsleyquay
