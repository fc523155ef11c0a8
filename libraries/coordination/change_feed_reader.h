#ifndef PARSLEYQUAY_COORDINATION_CHANGE_FEED_READER_H_
#define PARSLEYQUAY_COORDINATION_CHANGE_FEED_READER_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/change_feed.h"
#include "event/timer.h"
#include "logging/event_log.h"

namespace parsleyquay {

// When a feed is read, and how long a read may take.
struct FeedReadSchedule {
  Duration wait = Duration(0);      // how long a read waits for a change
  Duration interval = Duration(0);  // from a successful read to the next read
  Duration timeout = seconds(1);    // of a read, in addition to `wait`
  // The longest delay from a failed read to the next one.
  Duration max_retry_delay = milliseconds(900);

  bool operator==(const FeedReadSchedule&) const = default;
};

enum class ChangeSetKind {
  kSnapshot,     // the newest change of every key; a key without one does not
                 // exist
  kIncremental,  // the changes since the last delivery
};

// Reads a change feed continuously: first a snapshot, then the changes after
// it, and a snapshot again if the changes at its position are no longer
// retained or the feed has entered a new era. Failed reads are retried with
// exponential backoff. Responses of an era earlier than the newest known one
// are discarded.
template <typename Change>
class ChangeFeedReader {
 public:
  struct Handlers {
    std::function<void(std::vector<Change> changes, ChangeSetKind kind)>
        on_changes;
    // Called when the feed becomes unavailable, and when it is available again.
    std::function<void(bool is_available)> on_availability;
    // Called after a successful read and the delivery of its changes: all
    // changes made before `known_at` have been delivered.
    std::function<void(TimePoint known_at)> on_read;
    // Returns the delay from learning of a new era to the snapshot that is then
    // read, unless a peer's snapshot arrives before. Optional, 0 by default.
    std::function<Duration()> new_era_delay;
  };

  ChangeFeedReader(EventLoop& loop,
                   std::string name,
                   ChangeFeed<Change> feed,
                   FeedReadSchedule schedule,
                   Handlers handlers)
      : name(std::move(name)),
        feed(std::move(feed)),
        schedule(schedule),
        handlers(std::move(handlers)),
        loop(loop),
        timer(loop, [this] { this->ReadNext(); }) {}

  ~ChangeFeedReader() { this->Stop(); }
  ChangeFeedReader(const ChangeFeedReader&) = delete;
  ChangeFeedReader& operator=(const ChangeFeedReader&) = delete;

  void Start() { this->Read({.timeout = this->schedule.timeout}); }

  void Stop() {
    this->timer.Stop();
    this->CancelCurrent();
  }

  // Ends the continuous reads, since another instance tells of the changes.
  // Further reads are those of ReadNow() and of a new era, each until it
  // succeeds or CancelRetry() is called. May be called before Start(), which is
  // then not needed.
  void Pause() {
    this->is_paused = true;
    if (this->is_waiting) {
      this->CancelCurrent();
    }
    if (this->failures == 0 && !this->is_era_read_scheduled) {
      this->timer.Stop();
    }
  }

  // Cancels the retry of a failed read, so that the next read is that of
  // ReadNow(). Has an effect only on a paused reader, and none on the snapshot
  // of a new era.
  void CancelRetry() {
    if (this->is_paused && !this->is_behind_era() &&
        std::exchange(this->is_retry_pending, false)) {
      this->timer.Stop();
    }
  }

  // Continues the continuous reads, with one that is sent now.
  void Resume() {
    if (!std::exchange(this->is_paused, false) || this->is_retry_pending ||
        this->cancel_current_read || this->is_era_read_scheduled) {
      return;
    }
    if (this->next_position) {
      this->ReadNext();
    } else {
      this->Start();
    }
  }

  // Takes effect at once: the next read is due one interval after the last one
  // ended, so it is sent now if that is past. The retry of a failed read is not
  // postponed. A read that waits for a change is replaced if the new schedule
  // has a shorter wait.
  void SetReadSchedule(FeedReadSchedule new_schedule) {
    if (new_schedule == this->schedule) {
      return;
    }
    const bool has_shorter_wait = new_schedule.wait < this->schedule.wait;
    this->schedule = new_schedule;
    if (this->cancel_current_read) {
      if (this->is_waiting && has_shorter_wait) {
        this->ReadNow();
      }
    } else if (this->last_read_ended_at && this->failures == 0 &&
               !this->is_era_read_scheduled) {
      const TimePoint due = *this->last_read_ended_at + this->schedule.interval;
      this->ScheduleNextRead(std::max(Duration(0), due - this->loop.Now()));
    }
  }

  // Reads at once, on a new connection, in place of a read that waits for a
  // change: the connection of that read may have stopped responding. Does
  // nothing while a read without a wait is in progress, or while a retry after
  // a failed read or the snapshot of a new era is pending.
  void ReadNow() {
    const bool is_reading_without_wait =
        this->cancel_current_read && !this->is_waiting;
    if (is_reading_without_wait || this->is_retry_pending ||
        this->is_era_read_scheduled) {
      return;
    }
    if (this->cancel_current_read) {
      const Duration waited = this->loop.Now() - this->current_read_sent_at;
      LogEvent(LogLevel::kInfo, "feed_read_abandoned",
               {{"feed", this->name},
                {"waited_ms", std::to_string(ToMilliseconds(waited))}});
    }
    this->CancelCurrent();
    this->Read(
        {.timeout = this->schedule.timeout, .needs_new_connection = true});
  }

  // Returns the position up to which all changes are known, or std::nullopt if
  // there has been no snapshot yet.
  std::optional<FeedPosition> position() const { return this->next_position; }

  // The feed is known to be in this era. Schedules a snapshot if this reader
  // has only read earlier ones.
  void OnNewEra(std::uint64_t era) {
    if (era > this->known_era) {
      this->known_era = era;
      this->ScheduleEraRead();
    }
  }

  // Applies the changes that another instance has read from position `from` up
  // to position `to`. Returns false, without applying them, if this reader has
  // not yet reached position `from`. Changes of an earlier era are ignored.
  bool ApplyPeerChanges(FeedPosition from,
                        FeedPosition to,
                        std::vector<Change> changes) {
    this->OnNewEra(to.era);
    if (to.era < this->known_era) {
      return true;
    }
    if (!this->next_position || *this->next_position < from ||
        this->is_behind_era()) {
      return false;
    }
    if (to > *this->next_position) {
      this->next_position = to;
      this->Deliver(std::move(changes), ChangeSetKind::kIncremental);
    }
    return true;
  }

  // Applies a snapshot at position `to` that another instance has, unless this
  // reader has reached that position already or `to` is of an earlier era.
  void ApplyPeerSnapshot(FeedPosition to, std::vector<Change> changes) {
    this->OnNewEra(to.era);
    if (to.era < this->known_era ||
        (this->next_position && *this->next_position >= to)) {
      return;
    }
    this->next_position = to;
    this->has_expired = false;
    if (std::exchange(this->is_era_read_scheduled, false)) {
      this->timer.Stop();
      this->ScheduleNextRead(this->schedule.interval);
    }
    this->Deliver(std::move(changes), ChangeSetKind::kSnapshot);
  }

  bool is_available() const { return this->failures == 0; }
  // Returns how many reads have failed since the start.
  std::uint64_t failed_reads() const { return this->all_failures; }

 private:
  struct SentRead {
    TimePoint at;
    Duration wait;
  };

  // The delay after a failed read. It is short at first because most outages
  // are short, and doubles up to a maximum because rejected requests also put
  // load on the store.
  static constexpr Duration kMinRetryDelay = milliseconds(150);

  void ScheduleNextRead(Duration delay) {
    if (!this->is_paused) {
      this->timer.StartOnce(delay);
    }
  }

  void CancelCurrent() {
    if (this->cancel_current_read) {
      const CancelFeedRead cancel_read = std::move(this->cancel_current_read);
      this->cancel_current_read = nullptr;
      cancel_read();
    }
  }

  // After a failed read the next one does not wait for a change, so that it
  // shows soon whether the feed is available again. Its timeout is longer, in
  // case the feed is only slow.
  void ReadNext() {
    if (this->failures > 0) {
      const int factor = std::min(this->failures + 1, kMaxTimeoutFactor);
      this->Read({.timeout = this->schedule.timeout * factor,
                  .needs_new_connection = true});
      return;
    }
    this->Read({.wait = this->schedule.wait,
                .timeout = this->schedule.wait + this->schedule.timeout});
  }

  // Whether the position is of an earlier era, so that changes since then are
  // not defined.
  bool is_behind_era() const {
    return this->next_position && this->next_position->era < this->known_era;
  }

  // Schedules the snapshot of a new era in place of the current read. Does
  // nothing if the next read is a snapshot anyway: before the first one, and
  // while failed reads are retried.
  void ScheduleEraRead() {
    const bool is_retrying = this->failures > 0 && (this->is_retry_pending ||
                                                    this->cancel_current_read);
    const bool is_snapshot_next =
        !this->next_position || this->has_expired || is_retrying;
    if (is_snapshot_next || !this->is_behind_era()) {
      return;
    }
    this->CancelCurrent();
    this->is_era_read_scheduled = true;
    this->timer.StartOnce(this->handlers.new_era_delay
                              ? this->handlers.new_era_delay()
                              : Duration(0));
  }

  void Read(FeedReadOptions options) {
    this->timer.Stop();
    if (this->cancel_current_read) {
      return;
    }
    this->is_era_read_scheduled = false;
    this->is_retry_pending = false;
    const TimePoint sent_at = this->loop.Now();
    this->current_read_sent_at = sent_at;
    const bool is_incremental =
        this->next_position && !this->has_expired && !this->is_behind_era();
    const ChangeSetKind kind =
        is_incremental ? ChangeSetKind::kIncremental : ChangeSetKind::kSnapshot;
    const std::uint64_t sent_era = this->known_era;
    this->is_waiting =
        kind == ChangeSetKind::kIncremental && options.wait > Duration(0);
    const Duration wait = this->is_waiting ? options.wait : Duration(0);
    auto on_read = [this, sent_at, wait, sent_era,
                    kind](FeedReadResult<Change> read) {
      this->cancel_current_read = nullptr;
      this->OnRead(std::move(read), kind, {sent_at, wait}, sent_era);
    };
    if (kind == ChangeSetKind::kIncremental) {
      this->cancel_current_read = this->feed.read_from(
          *this->next_position, options, std::move(on_read));
      return;
    }
    options.timeout *= kSnapshotTimeoutFactor;
    this->cancel_current_read =
        this->feed.read_all(options, std::move(on_read));
  }

  void OnRead(FeedReadResult<Change> read,
              ChangeSetKind kind,
              SentRead sent,
              std::uint64_t sent_era) {
    if (read.status == FeedReadStatus::kUnavailable) {
      this->OnUnavailable(read.detail);
      return;
    }
    const std::uint64_t era = read.next_position.era;
    if (era < this->known_era) {
      this->OnUnavailable("a response of era " + std::to_string(era));
      return;
    }
    this->known_era = era;
    if (this->failures > 0) {
      LogEvent(LogLevel::kInfo, "feed_regained",
               {{"feed", this->name},
                {"failed_reads", std::to_string(this->failures)}});
      this->failures = 0;
      this->NotifyAvailability(true);
    }
    if (kind == ChangeSetKind::kIncremental && era != sent_era) {
      // The offset that was read from is one of an earlier era. Either a peer's
      // snapshot of this era has arrived meanwhile, or one is read.
      this->ScheduleNextRead(this->schedule.interval);
      this->ScheduleEraRead();
      return;
    }
    if (read.status == FeedReadStatus::kExpired) {
      LogEvent(
          LogLevel::kInfo, "feed_expired",
          {{"feed", this->name}, {"position", ToText(*this->next_position)}});
      this->has_expired = true;
      this->Read({.timeout = this->schedule.timeout});
      return;
    }
    this->last_read_ended_at = this->loop.Now();
    this->ScheduleNextRead(this->schedule.interval);
    const TimePoint known_at = this->KnownAt(read, sent);
    // A peer may have told of newer changes meanwhile.
    if (this->next_position.value_or(FeedPosition()) <= read.next_position) {
      this->next_position = read.next_position;
      this->has_expired = false;
      this->Deliver(std::move(read.changes), kind);
    }
    if (this->handlers.on_read) {
      this->handlers.on_read(known_at);
    }
  }

  // Returns the time before which all changes are known by a response. A store
  // that has waited in vain has had no change until the wait ended. Of any
  // other response only the time of the request is certain.
  TimePoint KnownAt(const FeedReadResult<Change>& read,
                    const SentRead& sent) const {
    const TimePoint wait_ended_at = sent.at + sent.wait;
    const bool has_waited_in_vain = this->next_position == read.next_position &&
                                    this->loop.Now() >= wait_ended_at;
    return has_waited_in_vain ? wait_ended_at : sent.at;
  }

  void OnUnavailable(const std::string& detail) {
    ++this->failures;
    ++this->all_failures;
    if (this->failures == 1) {
      LogEvent(LogLevel::kWarning, "feed_lost",
               {{"feed", this->name}, {"detail", detail}});
      this->NotifyAvailability(false);
    }
    const Duration delay =
        kMinRetryDelay * (1 << std::min(this->failures - 1, kMaxDoublings));
    this->is_retry_pending = true;
    this->timer.StartOnce(std::min(delay, this->schedule.max_retry_delay));
  }

  void NotifyAvailability(bool is_available) {
    if (this->handlers.on_availability) {
      this->handlers.on_availability(is_available);
    }
  }

  void Deliver(std::vector<Change> changes, ChangeSetKind kind) {
    if (kind == ChangeSetKind::kSnapshot || !changes.empty()) {
      this->handlers.on_changes(std::move(changes), kind);
    }
  }

  static constexpr int kMaxDoublings = 4;
  static constexpr int kMaxTimeoutFactor = 3;
  // A snapshot takes several pages to read.
  static constexpr int kSnapshotTimeoutFactor = 3;

  std::string name;
  ChangeFeed<Change> feed;
  FeedReadSchedule schedule;
  Handlers handlers;
  EventLoop& loop;
  Timer timer;
  CancelFeedRead cancel_current_read;
  TimePoint current_read_sent_at;
  bool is_paused = false;
  bool is_waiting = false;  // whether the current read waits for a change
  std::optional<FeedPosition> next_position;
  bool has_expired = false;     // changes at `next_position` are not retained
  std::uint64_t known_era = 0;  // the newest one that a read or a peer stated
  // Whether `timer` starts the snapshot of a new era.
  bool is_era_read_scheduled = false;
  std::optional<TimePoint> last_read_ended_at;  // the newest successful one
  int failures = 0;  // since the last successful read
  bool is_retry_pending = false;
  std::uint64_t all_failures = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_CHANGE_FEED_READER_H_
