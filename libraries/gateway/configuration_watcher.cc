#include "gateway/configuration_watcher.h"

#include <algorithm>
#include <utility>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// A change must be in force within two seconds. Those who watch for all wait
// at most this long on a connection that may have gone silent.
constexpr FeedReadSchedule kFrequentSchedule = {.wait = milliseconds(1'500),
                                                .interval = milliseconds(20),
                                                .timeout = milliseconds(400)};

// The others hear of a change from their peers as well; each read costs.
constexpr FeedReadSchedule kPatientSchedule = {.wait = seconds(28),
                                               .interval = milliseconds(20),
                                               .timeout = seconds(1)};

// The own read mostly brings a change at the moment that peers tell of it; a
// connection that has gone silent does not.
constexpr Duration kReadPatience = milliseconds(150);

// An instance that knows for so long that it is behind says so, once in each
// such time.
constexpr Duration kBehindReportInterval = seconds(1);

}  // namespace

ConfigurationWatcher::ConfigurationWatcher(GatewayContext& context,
                                           OnConfiguration on_configuration,
                                           OnWithdrawals on_withdrawals)
    : context(context),
      on_configuration(std::move(on_configuration)),
      on_withdrawals(std::move(on_withdrawals)),
      feed_reader(
          context.loop,
          "operators",
          context.coordination.operators,
          kPatientSchedule,
          {.on_changes =
               [this](std::vector<OperatorChange> changes, ChangeSetKind kind) {
                 this->OnChanges(std::move(changes), kind);
               }}),
      patience_timer(context.loop, [this] { this->ReadWhatWasTold(); }) {}

void ConfigurationWatcher::OnPeerFeedPosition(std::uint64_t position) {
  this->told_position = std::max(this->told_position, position);
  this->NoteBehind();
  if (position > this->position() && !this->is_patient) {
    this->is_patient = true;
    this->patience_timer.StartOnce(kReadPatience);
  }
}

void ConfigurationWatcher::NoteBehind() {
  if (this->told_position <= this->position()) {
    this->behind_since.reset();
    this->reported_behind = Duration(0);
    return;
  }
  if (!this->behind_since) {
    this->behind_since = this->context.Now();
  }
  if (this->behind() - this->reported_behind >= kBehindReportInterval) {
    this->reported_behind = this->behind();
    LogEvent(
        LogLevel::kWarning, "configuration_behind",
        {{"position", std::to_string(this->position())},
         {"told_position", std::to_string(this->told_position)},
         {"behind_ms", std::to_string(ToMilliseconds(this->behind()))},
         {"store_available", this->feed_reader.is_available() ? "yes" : "no"}});
  }
}

Duration ConfigurationWatcher::behind() const {
  return this->behind_since ? this->context.Now() - *this->behind_since
                            : Duration(0);
}

void ConfigurationWatcher::ReadWhatWasTold() {
  this->is_patient = false;
  if (this->told_position > this->position()) {
    this->feed_reader.ReadNow();
  }
}

void ConfigurationWatcher::SetFrequentReads(bool is_watchful) {
  this->feed_reader.SetReadSchedule(is_watchful ? kFrequentSchedule
                                                : kPatientSchedule);
}

void ConfigurationWatcher::OnChanges(std::vector<OperatorChange> changes,
                                     ChangeSetKind kind) {
  const std::set<std::string> before = this->withdrawn_domains;
  if (kind == ChangeSetKind::kSnapshot) {
    this->withdrawn_domains.clear();
  }
  for (OperatorChange& change : changes) {
    if (auto* configuration = std::get_if<FleetConfiguration>(&change)) {
      this->Accept(std::move(*configuration));
      continue;
    }
    this->Withdraw(std::get<DomainWithdrawal>(change));
  }
  this->NoteBehind();
  if (this->withdrawn_domains != before) {
    this->on_withdrawals(this->withdrawn_domains);
  }
}

void ConfigurationWatcher::Withdraw(const DomainWithdrawal& withdrawal) {
  LogEvent(LogLevel::kInfo, "domain_withdrawal",
           {{"failure_domain", withdrawal.failure_domain},
            {"withdrawn", withdrawal.is_withdrawn ? "yes" : "no"}});
  if (withdrawal.is_withdrawn) {
    this->withdrawn_domains.insert(withdrawal.failure_domain);
    return;
  }
  this->withdrawn_domains.erase(withdrawal.failure_domain);
}

void ConfigurationWatcher::Accept(FleetConfiguration configuration) {
  const std::uint64_t known = this->context.configuration_version();
  const std::string version = std::to_string(configuration.version);
  if (this->context.routing && configuration.version <= known) {
    LogEvent(LogLevel::kInfo, "configuration_overtaken",
             {{"version", version}, {"known", std::to_string(known)}});
    return;
  }
  LogEvent(LogLevel::kInfo, "configuration_accepted",
           {{"version", version},
            {"before", std::to_string(known)},
            {"behind_ms", std::to_string(ToMilliseconds(this->behind()))},
            {"routes", std::to_string(configuration.routes.size())},
            {"workspaces", std::to_string(configuration.workspaces.size())}});
  this->context.routing =
      std::make_shared<const RoutingTable>(std::move(configuration));
  this->on_configuration();
}

}  // namespace parsleyquay
