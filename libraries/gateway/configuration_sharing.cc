#include "gateway/configuration_sharing.h"

#include <utility>

#include "dissemination/operator_change_codec.h"
#include "gateway/membership_sync.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kUpdateInterval = milliseconds(250);

// While the state is missing. A third of the time that a member has to answer.
constexpr Duration kAskInterval = milliseconds(25);

// The time in which an instance that has started learns which aggregator it
// follows. A change published meanwhile still takes effect within 2 s.
constexpr Duration kSettleTime = seconds(1);

// While the store does not respond to this instance at all, its other reads
// show when it does again. They are looked at in this interval.
constexpr Duration kStoreCheckInterval = milliseconds(50);

std::string_view SourceName(ConfigurationSource source) {
  return source == ConfigurationSource::kStore ? "store" : "aggregator";
}

}  // namespace

ConfigurationSharing::ConfigurationSharing(GatewayContext& context,
                                           ConfigurationWatcher& watcher,
                                           const AggregatorElection& election,
                                           Handlers handlers)
    : context(context),
      watcher(watcher),
      election(election),
      handlers(std::move(handlers)),
      update_timer(context.loop, [this] { this->Update(); }),
      age_timer(context.loop, [this] { this->OnOldFeed(); }),
      send_timer(context.loop, [this] { this->SendFragments(); }) {}

std::vector<std::string> ConfigurationSharing::MessageMethods() {
  return {kConfigurationRequestMethod, kConfigurationFragmentMethod};
}

void ConfigurationSharing::Start() {
  if (!this->is_enabled()) {
    this->watcher.Start();
    return;
  }
  this->started_at = this->context.Now();
  this->decision = {ConfigurationSource::kAggregator, SourceReason::kStarting};
  this->watcher.PauseReads();
  this->Update();
  this->ScheduleAgeRead();
}

void ConfigurationSharing::OnDigest(const Digest& digest) {
  if (!this->is_enabled()) {
    return;
  }
  const bool is_followed =
      digest.sender == FollowedAggregator(this->election) ||
      (!this->watcher.has_state() &&
       !IsOfAnotherDomain(this->context.members, digest.sender,
                          this->context.settings.failure_domain));
  // A digest that only responds to a request for a list states no position.
  if (is_followed && digest.operator_position > FeedPosition()) {
    this->serving_aggregator =
        digest.serves_configuration ? digest.sender : std::string();
  }
  if (digest.has_operator_state && digest.serves_configuration &&
      digest.operator_position >= this->held_position) {
    this->state_holder = digest.sender;
    this->held_position = digest.operator_position;
  }
  this->ScheduleAgeRead();
  this->Update();
}

void ConfigurationSharing::OnMessage(const std::string& method,
                                     const Json::Value& parameters) {
  if (!this->is_enabled()) {
    return;
  }
  if (method == kConfigurationRequestMethod) {
    this->OnRequest(parameters);
  } else {
    this->OnFragment(parameters);
  }
}

void ConfigurationSharing::OnRoleChange() {
  if (this->is_enabled()) {
    this->Update();
  }
}

void ConfigurationSharing::OnNewState() {
  this->own_transfers.clear();
  if (!this->queue.pending.empty()) {
    this->SendFragments();
  }
}

void ConfigurationSharing::OnFeedRead() {
  if (!this->is_enabled()) {
    return;
  }
  const bool was_old = EndAgeRead(this->age_reads, this->context.Now());
  if (was_old) {
    ++this->age_reads.slow_reads;  // unless the feed turns out to be new
    IncrementCounter(this->context.metrics, "operator_feed_reads_for_others");
  }
  this->ScheduleAgeRead();
  if (was_old || this->election.role.is_aggregator) {
    this->handlers.on_old_feed_read();
  }
}

void ConfigurationSharing::SetReadOrder(const ListReadOrder& order) {
  this->age_reads.order = order;
  if (this->is_enabled()) {
    this->ScheduleAgeRead();
  }
}

// An instance that was never told begins with the age 0 when it starts.
Duration ConfigurationSharing::FeedAge() const {
  return this->watcher.FeedAge().value_or(this->context.Now() -
                                          this->started_at);
}

void ConfigurationSharing::ScheduleAgeRead() {
  const Duration age = this->FeedAge();
  if (age < kSlowListRead) {
    this->age_reads.slow_reads = 0;
  }
  this->age_timer.StartOnce(
      TimeToAgeRead(this->age_reads, age, this->context.Now()));
}

// While the reads of the list of servers fail, only these are retried: reads of
// both feeds would double the calls to a store that is down.
void ConfigurationSharing::OnOldFeed() {
  if (!this->handlers.is_store_available()) {
    this->watcher.CancelRetry();
    this->age_timer.StartOnce(kStoreCheckInterval);
    return;
  }
  if (!std::exchange(this->age_reads.is_reading, true)) {
    LogEvent(LogLevel::kInfo, "operator_feed_old",
             {{"age_ms", std::to_string(ToMilliseconds(this->FeedAge()))},
              {"aggregator", FollowedAggregator(this->election)},
              {"position", ToText(this->watcher.newest_known_position())}});
  }
  this->watcher.ReadNow();
  this->age_timer.StartOnce(kListAgeLimit);
}

void ConfigurationSharing::Update() {
  if (!this->watcher.has_state() &&
      HasToReadAtStart(this->election, this->request_schedule, this->started_at,
                       this->context.Now())) {
    this->watcher.ReadNow();
  }
  const bool is_told = this->watcher.has_state() &&
                       !this->watcher.is_behind() &&
                       this->FeedAge() < kListAgeLimit;
  if (is_told) {
    this->age_reads.is_reading = false;
    this->watcher.CancelRetry();
  }
  this->UpdateSource();
  this->AskIfNeeded();
  const bool is_urgent =
      !this->watcher.has_state() || this->watcher.is_behind();
  this->update_timer.StartOnce(is_urgent ? kAskInterval : kUpdateInterval);
}

void ConfigurationSharing::UpdateSource() {
  if (!this->watcher.has_state()) {
    return;
  }
  const SourceDecision next =
      DecideSource(this->election, !this->serving_aggregator.empty(),
                   this->started_at + kSettleTime, this->context.Now());
  if (next == this->decision) {
    return;
  }
  const bool has_switched = next.source != this->decision.source;
  this->decision = next;
  LogEvent(LogLevel::kInfo, "configuration_source",
           {{"source", std::string(SourceName(next.source))},
            {"reason", std::string(SourceReasonName(next.reason))},
            {"aggregator", FollowedAggregator(this->election)},
            {"position", ToText(this->watcher.position())}});
  if (!has_switched) {
    return;
  }
  if (next.source == ConfigurationSource::kStore) {
    this->watcher.ResumeReads();
  } else {
    this->watcher.PauseReads();
  }
}

// An instance that can read the feed itself does not ask: its read has usually
// been answered already.
void ConfigurationSharing::AskIfNeeded() {
  const bool is_missing =
      !this->watcher.has_state() || this->watcher.is_behind();
  if (!is_missing) {
    this->request_schedule = {};
    this->assembly = {};
    return;
  }
  const bool needs_peers =
      this->decision.source == ConfigurationSource::kAggregator ||
      !this->watcher.is_available();
  const bool can_ask =
      needs_peers && this->context.peer_transport &&
      this->watcher.is_behind() &&
      (!this->serving_aggregator.empty() || !this->state_holder.empty());
  if (!can_ask) {
    return;
  }
  const bool is_held =
      this->held_position >= this->watcher.newest_known_position();
  const std::string no_one;
  const std::string& first = is_held ? this->state_holder
                             : this->watcher.has_state()
                                 ? no_one
                                 : this->serving_aggregator;
  const auto member =
      NextToAsk(this->request_schedule, MembersToAsk(this->election, first),
                this->assembly.progressed_at, this->context.Now());
  if (member) {
    this->Ask(*member);
  }
}

void ConfigurationSharing::Ask(const std::string& member) {
  const std::string address = PeerAddressOf(this->context.members, member);
  if (address.empty()) {
    return;
  }
  IncrementCounter(this->context.metrics, "configuration_requests_sent");
  ConfigurationRequest request{
      .sender = this->context.settings.name,
      .configuration_version = this->context.configuration_version(),
      .wanted = this->watcher.newest_known_position()};
  if (this->watcher.has_state()) {
    request.position = this->watcher.position();
  }
  this->context.peer_transport->Send(address, kConfigurationRequestMethod,
                                     EncodeConfigurationRequest(request));
}

void ConfigurationSharing::OnRequest(const Json::Value& parameters) {
  auto request = DecodeConfigurationRequest(parameters);
  if (!request) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  AddRequest(this->queue, std::move(*request), this->context.Now());
  this->SendFragments();
}

void ConfigurationSharing::OnFragment(const Json::Value& parameters) {
  auto fragment = DecodeFragment(parameters);
  if (!fragment) {
    IncrementCounter(this->context.metrics, "peer_messages_malformed");
    return;
  }
  const FeedPosition position = fragment->id.position;
  std::optional<FeedPosition> own;
  if (this->watcher.has_state()) {
    own = this->watcher.position();
  }
  StoreEra& era = *this->context.coordination.era;
  if (era.Raise(position.era)) {
    era.NotifyWatchers();
  }
  if (!IsAcceptablePosition(position, own, era.known())) {
    return;
  }
  const FragmentResult result =
      AddFragment(this->assembly, std::move(*fragment), this->context.Now());
  if (result == FragmentResult::kCorrupt) {
    IncrementCounter(this->context.metrics, "configuration_transfers_corrupt");
  }
  if (result != FragmentResult::kComplete) {
    return;
  }
  auto changes = DecodeOperatorChanges(TakeText(this->assembly));
  if (!changes) {
    IncrementCounter(this->context.metrics, "configuration_transfers_corrupt");
    return;
  }
  if (this->watcher.ApplyPeerState(position, std::move(*changes))) {
    IncrementCounter(this->context.metrics, "configuration_transfers_received");
    IncrementCounter(this->context.metrics, "configuration_reads_avoided");
  }
  this->Update();
}

void ConfigurationSharing::SendFragments() {
  if (!this->context.peer_transport) {
    return;
  }
  const TransferSource source{.name = this->context.settings.name,
                              .position = this->watcher.position(),
                              .make_transfer = [this](std::uint64_t version) {
                                return this->MakeOwnTransfer(version);
                              }};
  const std::size_t limit =
      BytesPerInterval(this->context.settings.capacity.link);
  for (const OutgoingFragment& outgoing :
       TakeFragments(this->queue, source, limit, this->context.Now())) {
    const std::string address =
        PeerAddressOf(this->context.members, outgoing.member);
    if (address.empty()) {
      continue;
    }
    if (outgoing.fragment.index == 0) {
      IncrementCounter(this->context.metrics, "configuration_transfers_sent");
    }
    IncrementCounter(this->context.metrics, "configuration_parts_sent");
    this->context.peer_transport->Send(address, kConfigurationFragmentMethod,
                                       EncodeFragment(outgoing.fragment));
  }
  if (!this->queue.pending.empty()) {
    this->send_timer.StartOnce(kTransferInterval);
  }
}

std::shared_ptr<const ConfigurationTransfer>
ConfigurationSharing::MakeOwnTransfer(std::uint64_t configuration_version) {
  const std::uint64_t own_version = this->context.configuration_version();
  if (!this->watcher.has_state() || own_version == 0) {
    return nullptr;
  }
  const bool has_configuration = configuration_version < own_version;
  auto& transfer = this->own_transfers[has_configuration];
  const FeedPosition position = this->watcher.position();
  if (!transfer || transfer->id.position != position) {
    std::string text =
        EncodeOperatorChanges(this->watcher.State(has_configuration));
    if (text.size() > kMaxTransferBytes) {
      return nullptr;
    }
    transfer = std::make_shared<const ConfigurationTransfer>(
        MakeTransfer(position, std::move(text)));
  }
  return transfer;
}

}  // namespace parsleyquay
