#include "entry/fleet_log_replica.h"

#include <algorithm>

#include "fleet/record_codec.h"
#include "fleet/snapshot.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kMinPollInterval = milliseconds(500);
// Limits the reads of the whole fleet to 200 a second.
constexpr Duration kPollIntervalPerMember = milliseconds(5);
constexpr Duration kAppendRetryInterval = milliseconds(1'000);
constexpr Duration kAppendTickInterval = milliseconds(200);
constexpr Duration kLogReachableAge = milliseconds(2'000);
constexpr std::size_t kMaxRecentBytes = 2 * 1024 * 1024;
constexpr Duration kPullTimeout = seconds(3);

}  // namespace

FleetLogReplica::FleetLogReplica(EntryContext& context,
                                 std::function<void()> on_change)
    : context(context),
      on_change(std::move(on_change)),
      poll_timer(context.loop, [this] { this->Poll(); }),
      append_timer(context.loop, [this] { this->SendPendingAppends(); }) {}

void FleetLogReplica::Start() {
  this->Poll();
  this->append_timer.StartRepeating(kAppendTickInterval);
}

Duration FleetLogReplica::PollInterval() const {
  const auto members =
      static_cast<long>(this->context.fleet.view.members.size());
  return std::max(kMinPollInterval, kPollIntervalPerMember * members);
}

void FleetLogReplica::Poll() {
  this->poll_timer.StartOnce(this->PollInterval());
  if (this->is_reading) {
    return;
  }
  this->is_reading = true;
  ++this->context.counters.log_reads;
  const TimePoint requested_at = this->context.Now();
  const std::uint64_t begin = this->must_restore
                                  ? this->first_kept_offset
                                  : this->context.fleet.next_offset;
  const std::uint64_t from = this->restore_entries.empty()
                                 ? begin
                                 : this->restore_entries.back().offset + 1;
  this->context.platform.ReadLog(
      from, [this, requested_at](std::optional<LogPage> page) {
        this->is_reading = false;
        if (page) {
          this->OnPage(*page, requested_at);
        } else {
          this->PullFromSeed();
        }
      });
}

void FleetLogReplica::OnPage(const LogPage& page, TimePoint requested_at) {
  this->last_read_at = requested_at;
  this->first_kept_offset = page.first_offset;
  const bool has_gap = page.first_offset > this->context.fleet.next_offset;
  if (has_gap || this->must_restore || !this->restore_entries.empty()) {
    this->CollectForRestore(page, requested_at);
    return;
  }
  this->ApplyEntries(page.entries);
  const bool is_at_tail = this->context.fleet.next_offset >= page.next_offset;
  if (!is_at_tail) {
    this->poll_timer.StartOnce(Duration(0));
    return;
  }
  this->context.membership = RecordLogTail(std::move(this->context.membership),
                                           page.next_offset, requested_at);
}

// Called while the log has dropped entries that were not read here, or after a
// bridge snapshot was read. Collects all entries that the log keeps, up to its
// tail, and restores the state from a snapshot among them.
void FleetLogReplica::CollectForRestore(const LogPage& page,
                                        TimePoint requested_at) {
  std::ranges::copy(page.entries, std::back_inserter(this->restore_entries));
  const bool is_at_tail =
      this->restore_entries.empty() ||
      this->restore_entries.back().offset + 1 >= page.next_offset;
  if (!is_at_tail) {
    this->poll_timer.StartOnce(Duration(0));
    return;
  }
  std::optional<FleetState> state = RestoreFromEntries(this->restore_entries);
  const bool is_usable =
      state && state->next_offset > this->context.fleet.next_offset;
  if (!is_usable) {
    this->RecordGap(page);
    this->PullFromSeed();
    return;
  }
  LogEvent(LogLevel::kInfo, "restored",
           {{"held", std::to_string(this->context.fleet.next_offset)},
            {"first_kept", std::to_string(page.first_offset)},
            {"lost_first", std::to_string(state->lost_range.first)},
            {"lost_end", std::to_string(state->lost_range.end)}});
  this->restore_entries.clear();
  this->ReplaceState(std::move(*state));
  this->context.membership = RecordLogTail(std::move(this->context.membership),
                                           page.next_offset, requested_at);
}

void FleetLogReplica::RecordGap(const LogPage& page) {
  const std::uint64_t next_offset = this->context.fleet.next_offset;
  std::vector<LogEntry> kept;
  kept.swap(this->restore_entries);
  if (page.first_offset <= next_offset) {
    // There is no gap: a bridge snapshot was read, but the log no longer keeps
    // all parts of it.
    return;
  }
  if (!this->open_gap) {
    LogEvent(LogLevel::kWarning, "log_gap",
             {{"held", std::to_string(next_offset)},
              {"first_kept", std::to_string(page.first_offset)}});
  }
  this->open_gap = LogGap{page.first_offset, std::move(kept)};
}

void FleetLogReplica::ApplyEntries(const std::vector<LogEntry>& entries) {
  FleetState& fleet = this->context.fleet;
  const std::uint64_t offset_before = fleet.next_offset;
  for (const LogEntry& entry : entries) {
    if (entry.offset != fleet.next_offset) {
      continue;  // The entry has already been applied, or follows a gap.
    }
    const std::optional<Record> record = DecodeRecord(entry.text);
    if (record && CompletesBridgeSnapshot(*record)) {
      this->must_restore = true;
      break;
    }
    fleet = ApplyDecodedEntry(std::move(fleet), entry, record);
    this->recent_entries.push_back(entry);
    this->recent_bytes += entry.text.size();
    while (this->recent_bytes > kMaxRecentBytes) {
      this->recent_bytes -= this->recent_entries.front().text.size();
      this->recent_entries.pop_front();
    }
  }
  if (fleet.next_offset != offset_before) {
    this->CompletePendingAppends();
    this->on_change();
  }
}

void FleetLogReplica::ReplaceState(FleetState state) {
  const std::vector<Record> lost_records =
      state.lost_range == this->context.fleet.lost_range
          ? std::vector<Record>{}
          : FindLostOperatorRecords(state.lost_range);
  this->context.fleet = std::move(state);
  this->recent_entries.clear();
  this->recent_bytes = 0;
  this->must_restore = false;
  this->open_gap.reset();
  this->CompletePendingAppends();
  this->on_change();
  for (const Record& record : lost_records) {
    this->AppendUntilApplied(record, [] {});
  }
}

// Returns the operators' records that this instance had read and a bridge
// snapshot has left out. They are appended again and then accepted or rejected
// like any record of a concurrent change.
std::vector<Record> FleetLogReplica::FindLostOperatorRecords(
    const LostRange& lost) const {
  std::vector<Record> changes;
  for (const LogEntry& entry : this->recent_entries) {
    const std::optional<Record> record =
        lost.Contains(entry.offset) ? DecodeRecord(entry.text) : std::nullopt;
    if (record && IsOperatorRecord(record->body)) {
      changes.push_back(*record);
    }
  }
  return changes;
}

std::optional<LogPage> FleetLogReplica::PageFrom(std::uint64_t from) const {
  const std::uint64_t next = this->context.fleet.next_offset;
  const std::uint64_t first =
      this->recent_entries.empty() ? next : this->recent_entries.front().offset;
  if (from < first) {
    return std::nullopt;
  }
  LogPage page{first, next, {}};
  std::ranges::copy_if(
      this->recent_entries, std::back_inserter(page.entries),
      [&](const LogEntry& entry) { return entry.offset >= from; });
  return page;
}

void FleetLogReplica::CatchUp(const std::string& http_address) {
  const bool is_log_reachable =
      this->last_read_at &&
      this->context.Now() - *this->last_read_at < kLogReachableAge;
  if (is_log_reachable) {
    if (!this->is_reading) {
      this->poll_timer.StartOnce(Duration(0));
    }
    return;
  }
  if (!this->open_gap) {
    this->PullFromPeer(http_address);
  }
}

void FleetLogReplica::PullFromPeer(const std::string& http_address) {
  if (this->is_pulling || http_address.empty()) {
    return;
  }
  ++this->context.counters.peer_pulls;
  if (this->must_restore) {
    this->PullStateFromPeer(http_address);
    return;
  }
  this->is_pulling = true;
  CallRequest request;
  request.address = http_address;
  request.target = "/.parsleyquay/peer/log?from=" +
                   std::to_string(this->context.fleet.next_offset);
  request.headers = {
      {kFleetTokenHeader, MakeFleetToken(this->context.settings.fleet_key)}};
  request.total_timeout = kPullTimeout;
  this->context.http.Fetch(
      request, "", [this, http_address](const BufferedResponse& response) {
        this->is_pulling = false;
        if (this->is_member_blocked_by_gap()) {
          return;
        }
        if (response.is_ok()) {
          const std::optional<LogPage> page = ParseLogPage(response.body);
          this->ApplyEntries(page ? page->entries : std::vector<LogEntry>{});
        } else if (response.status == 410) {
          this->PullStateFromPeer(http_address);
        }
      });
}

void FleetLogReplica::PullStateFromPeer(const std::string& http_address) {
  this->is_pulling = true;
  CallRequest request;
  request.address = http_address;
  request.target = "/.parsleyquay/peer/state";
  request.headers = {
      {kFleetTokenHeader, MakeFleetToken(this->context.settings.fleet_key)}};
  request.total_timeout = kPullTimeout;
  this->context.http.Fetch(
      request, "", [this](const BufferedResponse& response) {
        this->is_pulling = false;
        if (!response.is_ok() || this->is_member_blocked_by_gap()) {
          return;
        }
        std::optional<FleetState> state = DecodeState(response.body);
        if (state && state->next_offset > this->context.fleet.next_offset) {
          this->ReplaceState(std::move(*state));
        }
      });
}

// If the log cannot be reached or has a gap, an instance that is not a member
// yet gets the state from a random one of the seed instances in its settings.
void FleetLogReplica::PullFromSeed() {
  const auto& seeds = this->context.settings.seed_addresses;
  if (this->context.membership.is_member || seeds.empty()) {
    return;
  }
  this->PullFromPeer(seeds[this->context.random() % seeds.size()]);
}

void FleetLogReplica::AppendUntilApplied(Record record,
                                         std::function<void()> on_applied) {
  this->pending_appends.push_back(
      {std::move(record), std::move(on_applied), this->context.Now()});
  this->SendPendingAppends();
}

void FleetLogReplica::SendPendingAppends() {
  const TimePoint now = this->context.Now();
  for (PendingAppend& pending : this->pending_appends) {
    if (pending.retry_at > now) {
      continue;
    }
    // Appending twice is harmless: records are deduplicated by id.
    pending.retry_at = now + kAppendRetryInterval;
    ++this->context.counters.log_appends;
    this->context.platform.Append(pending.record, [this](AppendOutcome) {
      if (!this->is_reading) {
        this->poll_timer.StartOnce(Duration(0));
      }
    });
  }
}

void FleetLogReplica::CompletePendingAppends() {
  std::vector<std::function<void()>> completed;
  std::erase_if(this->pending_appends, [&](PendingAppend& pending) {
    if (!FindOutcome(this->context.fleet, pending.record.id)) {
      return false;
    }
    completed.push_back(std::move(pending.on_applied));
    return true;
  });
  for (const auto& on_applied : completed) {
    on_applied();
  }
}

}  // namespace parsleyquay
