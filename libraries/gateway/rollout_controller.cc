#include "gateway/rollout_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// An instance that learns of a rollout later than this may have restarted and
// lost the count of its exposure.
constexpr Duration kLate = seconds(2);

// A server that is tried under load alone is not used while it probably fails.
constexpr double kMaxLoadedFailure = 0.8;

std::string ToPercent(double share) {
  return std::to_string(std::lround(share * 100));
}

void LogStatus(const RolloutStatus& status) {
  LogEvent(LogLevel::kInfo, "rollout",
           {{"service", status.service},
            {"to_version", status.to_version},
            {"number", std::to_string(status.number)},
            {"step", std::to_string(status.step)},
            {"phase", std::string(RolloutPhaseName(status.phase))},
            {"share_percent", ToPercent(status.share)},
            {"elapsed_ms", std::to_string(ToMilliseconds(status.elapsed))},
            {"requests", std::to_string(status.requests)},
            {"exposed", std::to_string(status.exposed)},
            {"driver", status.driver},
            {"reason", status.reason}});
}

}  // namespace

bool VersionFilter::Permits(const std::string& server,
                            const std::string& version,
                            double failure_probability) const {
  return !this->excluded_versions.contains(version) &&
         (!this->only_version || *this->only_version == version) &&
         (!this->only_server || *this->only_server == server) &&
         failure_probability <= this->max_failure_probability;
}

RolloutController::RolloutController(GatewayContext& context,
                                     const ServerDiscovery& discovery,
                                     Handlers handlers)
    : context(context),
      discovery(discovery),
      handlers(std::move(handlers)),
      timer(context.loop, [this] { this->Tick(); }) {}

void RolloutController::OnMessage(const Json::Value& parameters) {
  this->OnNews(DecodeRolloutNews(parameters["r"]));
}

bool RolloutController::is_enabled() const {
  const FleetBounds& bounds = this->context.settings.bounds;
  return bounds.rollout_exposure_share && bounds.rollout_exposure_slack &&
         bounds.rollback_time;
}

ExposureBound RolloutController::bound() const {
  const FleetBounds& bounds = this->context.settings.bounds;
  return {.share = bounds.rollout_exposure_share.value_or(0),
          .slack = bounds.rollout_exposure_slack.value_or(0)};
}

// Whether a rollout is requested of which no status is known yet.
bool RolloutController::is_pending(const Rollout& rollout) const {
  return rollout.request && (rollout.is_request_newer || !rollout.status);
}

const std::string& RolloutController::VersionOf(const Rollout& rollout) const {
  return this->is_pending(rollout) ? rollout.request->to_version
                                   : rollout.status->to_version;
}

void RolloutController::Begin(Rollout& rollout,
                              Duration elapsed,
                              long instances) {
  const TimePoint now = this->context.Now();
  rollout.started_at = now - elapsed;
  rollout.changed_at = now;
  rollout.confirmed_at = TimePoint();
  rollout.evidence = {};
  rollout.comparison = {};
  rollout.stored.reset();
  rollout.account = OpenExposureAccount(
      RankOfMember(this->context.members, this->context.settings.name),
      std::max(instances, static_cast<long>(this->context.member_count())),
      elapsed > kLate);
}

void RolloutController::OnRequestChange(const RolloutRequestChange& change) {
  if (!this->is_enabled()) {
    LogEvent(LogLevel::kWarning, "rollout_ignored",
             {{"service", change.service},
              {"reason", "the settings state no bounds for rollouts"}});
    return;
  }
  if (!change.request) {
    // A rollout in progress continues: its state is in the status.
    const auto found = this->rollouts.find(change.service);
    if (found != this->rollouts.end()) {
      found->second.request.reset();
      found->second.is_request_newer = false;
      if (!found->second.status) {
        this->rollouts.erase(found);
      }
    }
    return;
  }
  Rollout& rollout = this->rollouts[change.service];
  if (rollout.request == change.request) {
    return;
  }
  rollout.request = change.request;
  rollout.is_request_newer = rollout.status && rollout.status->to_version !=
                                                   change.request->to_version;
  LogEvent(
      LogLevel::kInfo, "rollout_requested",
      {{"service", change.service},
       {"to_version", change.request->to_version},
       {"duration_ms",
        std::to_string(ToMilliseconds(change.request->duration))},
       {"known_phase",
        rollout.status ? std::string(RolloutPhaseName(rollout.status->phase))
                       : "none"}});
  if (this->is_pending(rollout)) {
    this->Begin(rollout, Duration(0), 1);
  }
}

// Takes a status over if it is newer than the known one. Returns whether it is.
bool RolloutController::Adopt(Rollout& rollout, const RolloutStatus& status) {
  const auto before = rollout.status;
  if (before && MergeStatuses(*before, status) == *before) {
    return false;
  }
  const bool is_new_rollout = !before || before->number != status.number;
  const bool is_requested = this->is_pending(rollout) &&
                            rollout.request->to_version == status.to_version;
  if (is_new_rollout && !is_requested) {
    this->Begin(rollout, status.elapsed, status.instances);
  }
  if (is_new_rollout) {
    rollout.account.slack_part = std::min(
        rollout.account.slack_part, 1 / static_cast<double>(status.instances));
    rollout.is_request_newer = false;
  }
  const TimePoint started_at = this->context.Now() - status.elapsed;
  if (rollout.started_at - started_at > kLate) {
    rollout.account.slack_part = 0;
    rollout.account.rounding = 0;
  }
  rollout.started_at = std::min(rollout.started_at, started_at);
  rollout.status = status;
  const bool is_other_phase = is_new_rollout || before->phase != status.phase;
  if (is_other_phase || before->share != status.share) {
    rollout.changed_at = this->context.Now();
  }
  if (is_other_phase || status.driver == this->context.settings.name) {
    LogStatus(this->CurrentStatus(rollout));
  }
  return true;
}

void RolloutController::OnNews(const std::vector<RolloutNews>& news) {
  if (!this->is_enabled()) {
    return;
  }
  const TimePoint now = this->context.Now();
  bool has_changed = false;
  for (const RolloutNews& item : news) {
    const RolloutStatus& status = item.status;
    Rollout& rollout = this->rollouts[status.service];
    has_changed = this->Adopt(rollout, status) || has_changed;
    const bool is_current = rollout.status->number == status.number &&
                            rollout.status->step == status.step &&
                            rollout.status->phase == status.phase;
    if (is_current) {
      rollout.status->requests =
          std::max(rollout.status->requests, status.requests);
      rollout.status->exposed =
          std::max(rollout.status->exposed, status.exposed);
      rollout.confirmed_at =
          std::max(rollout.confirmed_at, now - item.confirmed_age);
    }
  }
  if (has_changed) {
    this->handlers.on_news();
  }
}

// Returns the known status as of now.
RolloutStatus RolloutController::CurrentStatus(const Rollout& rollout) const {
  RolloutStatus status = *rollout.status;
  if (!IsTerminal(status.phase)) {
    status.elapsed = this->context.Now() - rollout.started_at;
    status.requests = std::max(status.requests, rollout.comparison.compared +
                                                    rollout.comparison.exposed);
    status.exposed = std::max(status.exposed, rollout.comparison.exposed);
  }
  return status;
}

std::vector<RolloutNews> RolloutController::News() const {
  std::vector<RolloutNews> news;
  for (const auto& [service, rollout] : this->rollouts) {
    if (rollout.status) {
      news.push_back({this->CurrentStatus(rollout),
                      this->context.Now() - rollout.confirmed_at});
    }
  }
  return news;
}

void RolloutController::OnOutcomes(const OutcomeSummary& outcomes) {
  const TimePoint now = this->context.Now();
  for (const auto& [key, counts] : outcomes.version_outcomes) {
    const auto found = this->rollouts.find(key.service);
    if (found == this->rollouts.end() ||
        (found->second.status && IsTerminal(found->second.status->phase))) {
      continue;
    }
    const auto server = this->discovery.roster().servers.find(key.server);
    const std::string domain = server == this->discovery.roster().servers.end()
                                   ? std::string()
                                   : server->second.listing.failure_domain;
    AddEvidence(found->second.evidence, key.route, key.server, domain, counts,
                now - found->second.started_at);
  }
}

std::vector<std::string> RolloutController::NewServers(
    const std::string& service,
    const std::string& version) const {
  const ServerRoster& roster = this->discovery.roster();
  const TimePoint now = this->context.Now();
  std::vector<std::string> servers;
  std::vector<std::string> cold_servers;
  for (const std::string& name : this->discovery.ServersOfService(service)) {
    const RosterEntry& entry = roster.servers.at(name);
    if (entry.listing.version == version && MayReceiveRequests(roster, entry)) {
      (now < entry.cold_until ? cold_servers : servers).push_back(name);
    }
  }
  std::vector<std::string>& usable = servers.empty() ? cold_servers : servers;
  std::ranges::sort(usable);
  return usable;
}

std::vector<std::string> RolloutController::OtherVersions(
    const std::string& service,
    const std::string& version) const {
  std::set<std::string> others;
  for (const std::string& name : this->discovery.ServersOfService(service)) {
    others.insert(this->discovery.roster().servers.at(name).listing.version);
  }
  others.erase(version);
  return {others.begin(), others.end()};
}

std::vector<VersionFilter> RolloutController::FiltersFor(
    const std::string& service,
    bool is_second_attempt) {
  const auto found = this->rollouts.find(service);
  if (found == this->rollouts.end()) {
    return {VersionFilter{}};
  }
  Rollout& rollout = found->second;
  rollout.account.requests += is_second_attempt ? 0 : 1;
  const std::string& version = this->VersionOf(rollout);
  const VersionFilter only_old{.excluded_versions = {version}};
  VersionFilter only_new{.only_version = version};
  if (this->is_pending(rollout)) {
    // Without other servers the version was in use before, or its rollout has
    // been completed.
    return {this->OtherVersions(service, version).empty() ? VersionFilter{}
                                                          : only_old};
  }
  const RolloutStatus& status = *rollout.status;
  const TimePoint now = this->context.Now();
  std::uniform_real_distribution<double> sample(0, 1);
  const VersionChoice choice =
      ChooseVersion(status, now - rollout.confirmed_at, rollout.account,
                    this->bound(), sample(this->context.random));
  if (status.phase == RolloutPhase::kCompleted) {
    return {VersionFilter{.excluded_versions = {status.old_versions.begin(),
                                                status.old_versions.end()}}};
  }
  if (choice == VersionChoice::kOldOrNew) {
    return {only_old, only_new};
  }
  // An unproven version gets no second attempts, which would add to the
  // exposure.
  const bool is_second_of_trial =
      is_second_attempt && status.phase == RolloutPhase::kTrial;
  if (choice != VersionChoice::kNew || is_second_of_trial) {
    return {only_old};
  }
  only_new.only_server = ServerUnderLoad(status, now - rollout.started_at,
                                         this->NewServers(service, version));
  if (only_new.only_server) {
    only_new.max_failure_probability = kMaxLoadedFailure;
  }
  return {only_new, only_old};
}

void RolloutController::CountAttempt(const std::string& service,
                                     const std::string& version) {
  const auto found = this->rollouts.find(service);
  if (found != this->rollouts.end() &&
      this->VersionOf(found->second) == version) {
    ++found->second.account.exposed;
  }
}

bool RolloutController::MayReceive(const std::string& service,
                                   const std::string& version) const {
  const auto found = this->rollouts.find(service);
  if (found == this->rollouts.end() || this->is_pending(found->second)) {
    return true;
  }
  const RolloutStatus& status = *found->second.status;
  switch (status.phase) {
    case RolloutPhase::kTrial:
    case RolloutPhase::kSwitching:
      return true;
    case RolloutPhase::kStopping:
    case RolloutPhase::kRolledBack:
      return version != status.to_version;
    case RolloutPhase::kCompleted:
      return std::ranges::find(status.old_versions, version) ==
             status.old_versions.end();
  }
  return true;
}

std::optional<VersionObservation> RolloutController::Observe(
    const std::string& service,
    const std::string& version,
    const std::string& route,
    bool is_failure,
    std::optional<Duration> latency) const {
  const auto found = this->rollouts.find(service);
  if (found == this->rollouts.end() ||
      (!this->is_pending(found->second) &&
       IsTerminal(found->second.status->phase))) {
    return std::nullopt;
  }
  return VersionObservation{
      .service = service,
      .route = route,
      .is_new_version = version == this->VersionOf(found->second),
      .is_failure = is_failure,
      .latency_bucket =
          latency ? std::optional(LatencyBucketOf(*latency)) : std::nullopt};
}

Json::Value RolloutController::Describe() const {
  Json::Value rows(Json::arrayValue);
  for (const auto& [service, rollout] : this->rollouts) {
    Json::Value row;
    row["service"] = service;
    row["to_version"] = this->VersionOf(rollout);
    row["phase"] = "requested";
    row["own_requests"] = Json::Int64(rollout.account.requests);
    row["own_exposed"] = Json::Int64(rollout.account.exposed);
    if (!this->is_pending(rollout)) {
      const RolloutStatus status = this->CurrentStatus(rollout);
      row["phase"] = std::string(RolloutPhaseName(status.phase));
      row["share"] = status.share;
      row["reason"] = status.reason;
      row["driver"] = status.driver;
      row["number"] = Json::UInt64(status.number);
      row["step"] = Json::UInt64(status.step);
      row["elapsed_ms"] = Json::Int64(ToMilliseconds(status.elapsed));
      row["duration_ms"] = Json::Int64(ToMilliseconds(status.duration));
      row["requests"] = Json::Int64(status.requests);
      row["exposed"] = Json::Int64(status.exposed);
      row["confirmed_ms"] = Json::Int64(
          ToMilliseconds(this->context.Now() - rollout.confirmed_at));
    }
    rows.append(std::move(row));
  }
  return rows;
}

void RolloutController::AddMetrics(GatewayMetrics& metrics) const {
  for (const auto& [service, rollout] : this->rollouts) {
    const std::string labels = "{service=\"" + service + "\",version=\"" +
                               this->VersionOf(rollout) + "\"";
    const bool is_pending = this->is_pending(rollout);
    const std::string phase =
        is_pending ? "requested"
                   : std::string(RolloutPhaseName(rollout.status->phase));
    metrics.counters["rollout_phase" + labels + ",phase=\"" + phase + "\"}"] =
        1;
    metrics.counters["rollout_share_percent" + labels + "}"] =
        is_pending ? 0
                   : static_cast<std::uint64_t>(
                         std::lround(rollout.status->share * 100));
    metrics.counters["rollout_own_exposed" + labels + "}"] =
        static_cast<std::uint64_t>(rollout.account.exposed);
  }
}

}  // namespace parsleyquay
