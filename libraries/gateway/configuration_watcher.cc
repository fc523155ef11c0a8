#include "gateway/configuration_watcher.h"

#include <algorithm>
#include <utility>

#include "dissemination/configuration_transfer.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// A change must take effect within two seconds. Instances that read on behalf
// of others wait no longer than this on a connection that may have silently
// stopped delivering data. `wait` and `timeout` leave 800 ms for the retry, the
// digest that announces the change, and the reads of the other instances.
constexpr FeedReadSchedule kFrequentSchedule = {.wait = milliseconds(800),
                                                .interval = milliseconds(20),
                                                .timeout = milliseconds(400)};

// The other instances also learn of changes from their peers, and every read
// is a load on the store.
constexpr FeedReadSchedule kRareSchedule = {.wait = seconds(28),
                                            .interval = milliseconds(20),
                                            .timeout = seconds(1)};

// Usually the pending long poll returns a change by the time a peer announces
// it, or shortly afterwards. If its connection no longer delivers data it never
// does, so the feed is read again after this delay.
constexpr Duration kReadDelay = milliseconds(150);

// A lag behind the peers is logged once in each such interval, for the first
// time when it has lasted this long.
constexpr Duration kLagLogInterval = seconds(1);

// Every instance reads the operators' feed itself, so all of them read it in a
// new era. The last one has to follow a change published in that era in time.
constexpr Duration kNewEraSpread = milliseconds(400);

void LogWithdrawal(const DomainWithdrawal& withdrawal) {
  LogEvent(LogLevel::kInfo, "domain_withdrawal",
           {{"failure_domain", withdrawal.failure_domain},
            {"withdrawn", withdrawal.is_withdrawn ? "yes" : "no"}});
}

}  // namespace

ConfigurationWatcher::ConfigurationWatcher(GatewayContext& context,
                                           OnConfiguration on_configuration,
                                           OnWithdrawals on_withdrawals,
                                           OnNews on_news,
                                           OnRolloutRequest on_rollout_request,
                                           OnFeedRead on_feed_read)
    : context(context),
      on_configuration(std::move(on_configuration)),
      on_withdrawals(std::move(on_withdrawals)),
      on_news(std::move(on_news)),
      on_rollout_request(std::move(on_rollout_request)),
      on_feed_read(std::move(on_feed_read)),
      feed_reader(
          context.loop,
          "operators",
          context.coordination.operators,
          kRareSchedule,
          {.on_changes =
               [this](std::vector<OperatorChange> changes, ChangeSetKind kind) {
                 this->OnChanges(std::move(changes), kind);
               },
           .on_read = [this](TimePoint known_at) { this->OnRead(known_at); },
           .new_era_delay = [this] { return this->NewEraDelay(); }}),
      read_timer(context.loop, [this] { this->ReadMissingChanges(); }) {
  context.coordination.era->Watch(
      [this](std::uint64_t era) { this->feed_reader.OnNewEra(era); });
}

Duration ConfigurationWatcher::NewEraDelay() const {
  return this->reads_for_others
             ? Duration(0)
             : NewEraReadDelay(RankOfMember(this->context.members,
                                            this->context.settings.name),
                               kNewEraSpread);
}

bool ConfigurationWatcher::ApplyPeerState(const FeedPosition& position,
                                          std::vector<OperatorChange> changes) {
  if (!IsAcceptablePosition(position, this->feed_reader.position(),
                            this->context.coordination.era->known())) {
    return false;
  }
  this->is_applying_peer_state = true;
  this->feed_reader.ApplyPeerSnapshot(position, std::move(changes));
  this->is_applying_peer_state = false;
  if (!this->is_behind()) {
    this->read_timer.Stop();
    this->is_read_scheduled = false;
  }
  return true;
}

std::vector<OperatorChange> ConfigurationWatcher::State(
    bool has_configuration) const {
  std::vector<OperatorChange> changes =
      ListChanges(this->state, this->position().era);
  if (has_configuration && this->context.routing) {
    changes.emplace_back(this->context.routing->configuration());
  }
  return changes;
}

void ConfigurationWatcher::OnRead(TimePoint known_at) {
  this->SetFeedKnownAt(known_at);
  this->on_feed_read();
}

void ConfigurationWatcher::SetFeedKnownAt(TimePoint known_at) {
  this->feed_known_at =
      std::max(this->feed_known_at.value_or(known_at), known_at);
}

std::optional<Duration> ConfigurationWatcher::FeedAge() const {
  if (!this->feed_known_at) {
    return std::nullopt;
  }
  return this->context.Now() - *this->feed_known_at;
}

void ConfigurationWatcher::OnPeerFeedPosition(const FeedPosition& position,
                                              std::optional<Duration> age) {
  const bool is_news = position > this->newest_known_position();
  this->peer_position = std::max(this->peer_position, position);
  // A peer that has not heard of the newest era does not know its changes.
  if (age && position.era >= this->context.coordination.era->known()) {
    this->SetFeedKnownAt(this->context.Now() - *age);
  }
  this->UpdateLag();
  if (is_news) {
    this->on_news();
  }
  if (position > this->position() && !this->is_read_scheduled) {
    this->is_read_scheduled = true;
    this->read_timer.StartOnce(kReadDelay);
  }
}

void ConfigurationWatcher::UpdateLag() {
  if (this->peer_position <= this->position()) {
    this->lagging_since.reset();
    this->logged_lag = Duration(0);
    return;
  }
  if (!this->lagging_since) {
    this->lagging_since = this->context.Now();
  }
  if (this->lag() - this->logged_lag >= kLagLogInterval) {
    this->logged_lag = this->lag();
    LogEvent(
        LogLevel::kWarning, "configuration_behind",
        {{"position", ToText(this->position())},
         {"told_position", ToText(this->peer_position)},
         {"behind_ms", std::to_string(ToMilliseconds(this->lag()))},
         {"store_available", this->feed_reader.is_available() ? "yes" : "no"}});
  }
}

Duration ConfigurationWatcher::lag() const {
  return this->lagging_since ? this->context.Now() - *this->lagging_since
                             : Duration(0);
}

void ConfigurationWatcher::ReadMissingChanges() {
  this->is_read_scheduled = false;
  if (this->peer_position > this->position()) {
    this->feed_reader.ReadNow();
  }
}

void ConfigurationWatcher::SetFrequentReads(bool are_frequent,
                                            bool are_for_others) {
  this->reads_for_others = are_frequent && are_for_others;
  this->feed_reader.SetReadSchedule(are_frequent ? kFrequentSchedule
                                                 : kRareSchedule);
}

void ConfigurationWatcher::OnChanges(std::vector<OperatorChange> changes,
                                     ChangeSetKind kind) {
  const std::set<std::string> before = WithdrawnDomains(this->state);
  // A withdrawal that the first snapshot of an era lacks may be newer than the
  // data with which the store has returned, so it stays in force.
  const std::uint64_t era = this->position().era;
  const bool is_first_of_era = std::exchange(this->applied_era, era) != era;
  if (this->is_applying_peer_state) {
    changes = parsleyquay::ApplyPeerState(this->state, std::move(changes), era);
  } else {
    ApplyReadChanges(this->state, changes, kind, is_first_of_era, era);
  }
  for (OperatorChange& change : changes) {
    if (auto* configuration = std::get_if<FleetConfiguration>(&change)) {
      this->ApplyConfiguration(std::move(*configuration));
    } else if (const auto* request =
                   std::get_if<RolloutRequestChange>(&change)) {
      this->on_rollout_request(*request);
    } else {
      LogWithdrawal(std::get<DomainWithdrawal>(change));
    }
  }
  this->UpdateLag();
  const std::set<std::string> withdrawn = WithdrawnDomains(this->state);
  if (withdrawn != before) {
    this->on_withdrawals(withdrawn);
  }
  this->on_news();
}

void ConfigurationWatcher::ApplyConfiguration(
    FleetConfiguration configuration) {
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
            {"behind_ms", std::to_string(ToMilliseconds(this->lag()))},
            {"routes", std::to_string(configuration.routes.size())},
            {"workspaces", std::to_string(configuration.workspaces.size())}});
  this->context.routing =
      std::make_shared<const RoutingTable>(std::move(configuration));
  this->on_configuration();
}

}  // namespace parsleyquay
