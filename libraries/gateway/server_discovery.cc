#include "gateway/server_discovery.h"

#include <algorithm>
#include <utility>

#include "logging/event_log.h"

namespace parsleyquay {

namespace {

// A server that drains must get no new requests after two seconds. The 700 ms
// until the change is read leave time for a lost datagram and for a read on a
// connection that has silently stopped delivering data, see ListAgeLimit().
constexpr FeedReadSchedule kStoreSchedule = {.interval = milliseconds(700),
                                             .timeout = milliseconds(400)};

// A longer list does not fit into one datagram with the rest of a digest. Peers
// then read the store.
constexpr std::size_t kMaxListedServersPerDigest = 500;

// Reads in case that the digests are incomplete; rare, since every read is a
// load on the store. Digests that tell nothing new or do not arrive cause
// further reads, see ListAgeLimit(). In an outage, the aggregator's retries
// show when the store is available again, so those of the others are rarer.
constexpr FeedReadSchedule kPeersSchedule = {.interval = seconds(40),
                                             .timeout = milliseconds(400),
                                             .max_retry_delay = seconds(2)};

// Before the role of this instance is known.
constexpr FeedReadSchedule kStartSchedule = {.interval = milliseconds(900),
                                             .timeout = milliseconds(400)};

// A longer list of changes is sent as the full list.
constexpr std::size_t kMaxUnsentChanges = kMaxListedServersPerDigest;

// In a new era an instance that has the list from peers waits for their
// snapshot, and reads the store only if none arrives.
constexpr Duration kNewEraWaitForPeers = milliseconds(150);
constexpr Duration kNewEraSpread = milliseconds(300);

}  // namespace

ServerDiscovery::ServerDiscovery(GatewayContext& context, Handlers handlers)
    : context(context),
      handlers(std::move(handlers)),
      feed_reader(
          context.loop,
          "servers",
          context.coordination.servers,
          kStartSchedule,
          {.on_changes =
               [this](std::vector<ServerChange> changes, ChangeSetKind kind) {
                 this->OnChanges(std::move(changes), kind);
               },
           .on_availability =
               [this](bool is_available) {
                 this->OnAvailability(is_available);
               },
           .on_read = [this](TimePoint known_at) { this->OnRead(known_at); },
           .new_era_delay = [this] { return this->NewEraDelay(); }}),
      removal_timer(context.loop, [this] { this->OnRemovalTimer(); }),
      age_timer(context.loop, [this] { this->OnOldList(); }) {
  context.coordination.era->Watch(
      [this](std::uint64_t era) { this->feed_reader.OnNewEra(era); });
}

Duration ServerDiscovery::NewEraDelay() const {
  return this->source == ServerListSource::kStore
             ? Duration(0)
             : kNewEraWaitForPeers +
                   NewEraReadDelay(RankOfMember(this->context.members,
                                                this->context.settings.name),
                                   kNewEraSpread);
}

void ServerDiscovery::SetSource(ServerListSource new_source) {
  const bool reads_store = new_source == ServerListSource::kStore;
  if (new_source != this->source) {
    this->source = new_source;
    this->became_reader_at =
        reads_store ? std::optional(this->context.Now()) : std::nullopt;
    LogEvent(LogLevel::kInfo, "server_list_source",
             {{"source", reads_store ? "store" : "peers"},
              {"list_age_ms", this->ListAgeText()},
              {"store_available", this->is_available() ? "yes" : "no"}});
  }
  this->feed_reader.SetReadSchedule(reads_store ? kStoreSchedule
                                                : kPeersSchedule);
}

void ServerDiscovery::SetReadOrder(const ListReadOrder& order) {
  this->age_reads.order = order;
  this->ScheduleAgeRead();
}

std::optional<Duration> ServerDiscovery::ListAge() const {
  if (!this->list_known_at) {
    return std::nullopt;
  }
  return this->context.Now() - *this->list_known_at;
}

std::string ServerDiscovery::ListAgeText() const {
  const auto age = this->ListAge();
  return age ? std::to_string(ToMilliseconds(*age)) : "-";
}

void ServerDiscovery::SetWithdrawnDomains(
    const std::set<std::string>& domains) {
  this->server_roster.withdrawn_domains = domains;
}

void ServerDiscovery::MarkLeaving(const std::string& server,
                                  const std::string& address) {
  if (SetLeaving(this->server_roster, server, address)) {
    LogEvent(
        LogLevel::kInfo, "server_list",
        {{"server", server},
         {"change", "leaving"},
         {"service", this->server_roster.servers.at(server).listing.service},
         {"address", address}});
  }
}

void ServerDiscovery::ApplyDigest(const Digest& digest) {
  // NOTE: the time that the datagram has waited in the socket's buffer is not
  // known, so the list counts as newer by that time.
  const TimePoint known_at =
      this->context.Now() - digest.server_list_age.value_or(Duration(0));
  const auto is_known = [&] {
    const auto position = this->feed_reader.position();
    return position && *position >= digest.servers_to;
  };
  if (digest.servers_to.era < this->context.coordination.era->known()) {
    return;
  }
  if (!is_known()) {
    if (!this->is_available() && this->list_known_at) {
      this->StartLapseGracePeriodAfter(known_at - *this->list_known_at);
    }
    this->ApplyChangesInDigest(digest);
  }
  const bool states_list =
      digest.server_list_age || digest.servers_to > FeedPosition();
  if (states_list && is_known()) {
    this->SetListKnownAt(known_at);
  }
}

void ServerDiscovery::ApplyChangesInDigest(const Digest& digest) {
  this->digest_sender = digest.sender;
  if (digest.has_full_server_list) {
    this->feed_reader.ApplyPeerSnapshot(digest.servers_to,
                                        digest.server_changes);
  } else if (!this->feed_reader.ApplyPeerChanges(digest.servers_from,
                                                 digest.servers_to,
                                                 digest.server_changes)) {
    this->LogGap(digest);
    this->gap = {.peer = digest.sender, .end = digest.servers_to};
    this->feed_reader.ReadNow();
    if (!this->is_available()) {
      this->AskPeerForGap();
    }
  }
  this->digest_sender.clear();
}

void ServerDiscovery::OnAvailability(bool is_available) {
  if (!is_available) {
    this->AskPeerForGap();
  } else if (const auto outage = this->ListAge()) {
    this->StartLapseGracePeriodAfter(*outage);
  }
}

void ServerDiscovery::AskPeerForGap() {
  if (this->position() < this->gap.end) {
    this->handlers.on_gap(this->gap.peer);
  }
}

void ServerDiscovery::LogGap(const Digest& digest) {
  if (this->gap.end == digest.servers_to) {
    return;
  }
  LogEvent(LogLevel::kInfo, "server_list_gap",
           {{"peer", digest.sender},
            {"position", ToText(this->position())},
            {"told_position", ToText(digest.servers_to)},
            {"list_age_ms", this->ListAgeText()},
            {"store_available", this->is_available() ? "yes" : "no"}});
}

void ServerDiscovery::AddChangesToDigest(Digest& digest) {
  const auto position = this->feed_reader.position();
  if (!position) {
    return;
  }
  if (!this->sent_position) {
    this->AddFullListToDigest(digest);
  } else {
    digest.server_changes = std::exchange(this->unsent_changes, {});
  }
  digest.servers_from = this->sent_position.value_or(*position);
  digest.servers_to = *position;
  digest.server_list_age = this->ListAge();
  this->sent_position = position;
}

bool ServerDiscovery::AddFullListToDigest(Digest& digest) const {
  const auto position = this->feed_reader.position();
  std::vector<ServerChange> list = ListedServers(this->server_roster);
  if (!position || list.size() > kMaxListedServersPerDigest) {
    return false;
  }
  digest.servers_from = *position;
  digest.servers_to = *position;
  digest.has_full_server_list = true;
  digest.server_changes = std::move(list);
  digest.server_list_age = this->ListAge();
  return true;
}

const std::vector<std::string>& ServerDiscovery::ServersOfService(
    const std::string& service) const {
  static const std::vector<std::string> none;
  const auto found = this->names_by_service.find(service);
  return found == this->names_by_service.end() ? none : found->second;
}

void ServerDiscovery::OnChanges(std::vector<ServerChange> changes,
                                ChangeSetKind kind) {
  this->KeepServersInNewEra();
  if (kind == ChangeSetKind::kSnapshot) {
    changes = ChangesFromFullList(this->server_roster, std::move(changes));
    // A snapshot does not tell which servers were removed before it. Peers that
    // still know these need the full list.
    this->sent_position.reset();
    this->unsent_changes.clear();
  }
  for (const ServerChange& change : changes) {
    this->Apply(change);
  }
  this->GroupByService();
  if (!this->unsent_changes.empty() || !this->sent_position) {
    this->handlers.on_news();
  }
}

// The first snapshot of an era lacks the servers that were listed only after
// the copy was made. Those that are alive write their listings again, as after
// an outage in which listings expire.
void ServerDiscovery::KeepServersInNewEra() {
  const std::uint64_t era = this->position().era;
  if (std::exchange(this->applied_era, era).value_or(era) != era) {
    this->StartLapseGracePeriodAfter(kMinLapseOutage);
  }
}

void ServerDiscovery::SetListKnownAt(TimePoint known_at) {
  this->list_known_at =
      std::max(this->list_known_at.value_or(known_at), known_at);
  if (this->context.Now() - known_at < kSlowListRead) {
    this->age_reads.slow_reads = 0;
  }
  this->ScheduleAgeRead();
}

// The read is sent at once if the list is too old already.
void ServerDiscovery::ScheduleAgeRead() {
  if (const auto age = this->ListAge()) {
    this->age_timer.StartOnce(
        TimeToAgeRead(this->age_reads, *age, this->context.Now()));
  }
}

void ServerDiscovery::OnOldList() {
  this->age_reads.is_reading = this->source == ServerListSource::kPeers;
  if (this->age_reads.is_reading && !this->age_reads.order.is_first) {
    this->SkipChangesBeforeNow();
  }
  this->feed_reader.ReadNow();
}

void ServerDiscovery::SkipChangesBeforeNow() {
  this->sent_position = this->feed_reader.position();
  this->unsent_changes.clear();
}

void ServerDiscovery::StartLapseGracePeriodAfter(Duration outage) {
  StartLapseGracePeriod(this->server_roster, outage, this->context.Now());
}

void ServerDiscovery::OnRead(TimePoint known_at) {
  ++this->age_reads.slow_reads;  // unless the list turns out to be new
  const bool was_old = EndAgeRead(this->age_reads, this->context.Now());
  this->SetListKnownAt(known_at);
  if (this->became_reader_at) {
    const Duration passed = this->context.Now() - *this->became_reader_at;
    this->became_reader_at.reset();
    LogEvent(LogLevel::kInfo, "server_list_read",
             {{"after_ms", std::to_string(ToMilliseconds(passed))}});
  }
  this->handlers.on_read(was_old);
}

void ServerDiscovery::LogChange(const ServerChange& change,
                                RosterEvent event) const {
  std::vector<LogField> fields = {
      {"server", change.server},
      {"change", std::string(RosterEventName(event))},
      {"service", change.listing ? change.listing->service : "-"},
      {"address", change.listing ? change.listing->address : "-"},
      {"position", ToText(this->position())},
      {"source", this->digest_sender.empty() ? "store" : this->digest_sender},
      {"list_age_ms", this->ListAgeText()}};
  if (event == RosterEvent::kLapsed) {
    const Duration kept =
        this->server_roster.lapse_grace_until - this->context.Now();
    fields.push_back({"kept_ms", std::to_string(ToMilliseconds(kept))});
  }
  LogEvent(LogLevel::kInfo, "server_list", fields);
}

void ServerDiscovery::Apply(const ServerChange& change) {
  const TimePoint now = this->context.Now();
  const RosterEvent event = ApplyServerChange(this->server_roster, change, now);
  if (event != RosterEvent::kNone) {
    this->LogChange(change, event);
  }
  // A read returns only the newest record of a server, so this instance may see
  // the removal of one whose listing it has never seen, but a peer has.
  const bool has_to_be_forwarded =
      event != RosterEvent::kStale &&
      (event != RosterEvent::kNone || !change.listing);
  if (!has_to_be_forwarded) {
    return;
  }
  if (this->sent_position) {
    this->unsent_changes.push_back(change);
  }
  if (this->unsent_changes.size() > kMaxUnsentChanges) {
    this->sent_position.reset();
    this->unsent_changes.clear();
  }
  if (event == RosterEvent::kAdded || event == RosterEvent::kRestarted) {
    this->handlers.on_new_incarnation(change.server);
  }
  if (event == RosterEvent::kLapsed) {
    this->ScheduleRemoval();
  }
}

void ServerDiscovery::OnRemovalTimer() {
  for (const std::string& server :
       RemoveExpiredServers(this->server_roster, this->context.Now())) {
    LogEvent(LogLevel::kInfo, "server_list",
             {{"server", server}, {"change", "lapsed_for_good"}});
  }
  this->GroupByService();
  this->ScheduleRemoval();
}

void ServerDiscovery::ScheduleRemoval() {
  if (const auto next = NextLapseExpiry(this->server_roster)) {
    this->removal_timer.StartOnce(
        std::max(Duration(0), *next - this->context.Now()));
  }
}

void ServerDiscovery::GroupByService() {
  this->names_by_service.clear();
  for (const auto& [name, entry] : this->server_roster.servers) {
    this->names_by_service[entry.listing.service].push_back(name);
  }
}

}  // namespace parsleyquay
