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

// How a feed is followed.
struct FeedReadSchedule {
  Duration wait = Duration(0);      // a read may wait so long for a change
  Duration interval = Duration(0);  // from one read to the next
  Duration timeout = seconds(1);    // of a read, beyond `wait`

  bool operator==(const FeedReadSchedule&) const = default;
};

enum class ChangeSetKind {
  kSnapshot,     // the newest of every key: what is not named is not there
  kIncremental,  // what came since
};

// Keeps up with one feed: reads it whole, then what comes later, and whole
// again when its position is no longer kept. Unavailability is retried with
// growing delays.
template <typename Change>
class ChangeFeedReader {
 public:
  struct Handlers {
    std::function<void(std::vector<Change> changes, ChangeSetKind kind)>
        on_changes;
    // The feed answers again after a time in which it did not, or the reverse.
    std::function<void(bool is_available)> on_availability;
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

  // Takes effect at once, also on a read that waits for a change.
  void SetReadSchedule(FeedReadSchedule new_schedule) {
    if (new_schedule == this->schedule) {
      return;
    }
    const bool ends_sooner = new_schedule.wait < this->schedule.wait;
    this->schedule = new_schedule;
    if (!this->cancel) {
      this->timer.StartOnce(this->schedule.interval);
    } else if (this->is_waiting && ends_sooner) {
      this->ReadNow();
    }
  }

  // Reads at once, in place of a read that waits for a change, and on a new
  // connection: the one that waits may have gone silent. After unsuccessful
  // reads the next one comes when its delay is over, and no sooner.
  void ReadNow() {
    const bool is_reading = this->cancel && !this->is_waiting;
    if (is_reading || this->failures > 0) {
      return;
    }
    this->CancelCurrent();
    this->Read(
        {.timeout = this->schedule.timeout, .needs_new_connection = true});
  }

  // The position up to which all changes are known; nothing at first.
  std::optional<std::uint64_t> position() const { return this->next_position; }

  // Takes over changes that another instance has read between two positions.
  // Returns false when something before them is missing here.
  bool ApplyPeerChanges(std::uint64_t from,
                        std::uint64_t to,
                        std::vector<Change> changes) {
    if (!this->next_position || *this->next_position < from) {
      return false;
    }
    if (to > *this->next_position) {
      this->next_position = to;
      this->Deliver(std::move(changes), ChangeSetKind::kIncremental);
    }
    return true;
  }

  bool is_available() const { return this->failures == 0; }
  // When the newest successful read was sent.
  std::optional<TimePoint> read_at() const { return this->last_read_at; }

 private:
  // Delays after an unsuccessful read: short, since most outages are, and
  // doubled up to a bound, since refused calls count against the store too.
  static constexpr Duration kFirstRetryDelay = milliseconds(150);
  static constexpr Duration kLongestRetryDelay = milliseconds(900);

  void CancelCurrent() {
    if (this->cancel) {
      const CancelFeedRead cancel_read = std::move(this->cancel);
      this->cancel = nullptr;
      cancel_read();
    }
  }

  // After an unsuccessful read the next one waits for no change, so that it is
  // known soon whether the feed answers again. It is given more time, in case
  // that the feed is only slow.
  void ReadNext() {
    if (this->failures > 0) {
      const int factor = std::min(this->failures + 1, kMostTimeoutFactor);
      this->Read({.timeout = this->schedule.timeout * factor,
                  .needs_new_connection = true});
      return;
    }
    this->Read({.wait = this->schedule.wait,
                .timeout = this->schedule.wait + this->schedule.timeout});
  }

  void Read(FeedReadOptions options) {
    this->timer.Stop();
    if (this->cancel) {
      return;
    }
    const TimePoint sent_at = this->loop.Now();
    auto on_read = [this, sent_at](FeedReadResult<Change> read) {
      this->cancel = nullptr;
      this->OnRead(std::move(read), sent_at);
    };
    this->is_waiting = this->next_position && options.wait > Duration(0);
    if (this->next_position) {
      this->cancel = this->feed.read_from(*this->next_position, options,
                                          std::move(on_read));
      return;
    }
    options.timeout = this->schedule.timeout * kWholeReadFactor;
    this->cancel = this->feed.read_all(options, std::move(on_read));
  }

  void OnRead(FeedReadResult<Change> read, TimePoint sent_at) {
    if (read.status == FeedReadStatus::kUnavailable) {
      this->OnUnavailable(read.detail);
      return;
    }
    if (this->failures > 0) {
      LogEvent(LogLevel::kInfo, "feed_regained",
               {{"feed", this->name},
                {"failed_reads", std::to_string(this->failures)}});
      this->failures = 0;
      this->NoteAvailability(true);
    }
    if (read.status == FeedReadStatus::kExpired) {
      LogEvent(LogLevel::kInfo, "feed_expired",
               {{"feed", this->name},
                {"position", std::to_string(*this->next_position)}});
      this->next_position.reset();
      this->Read({.timeout = this->schedule.timeout});
      return;
    }
    const ChangeSetKind kind = this->next_position ? ChangeSetKind::kIncremental
                                                   : ChangeSetKind::kSnapshot;
    this->last_read_at = sent_at;
    this->next_position =
        std::max(this->next_position.value_or(0), read.next_position);
    this->timer.StartOnce(this->schedule.interval);
    this->Deliver(std::move(read.changes), kind);
  }

  void OnUnavailable(const std::string& detail) {
    ++this->failures;
    if (this->failures == 1) {
      LogEvent(LogLevel::kWarning, "feed_lost",
               {{"feed", this->name}, {"detail", detail}});
      this->NoteAvailability(false);
    }
    const Duration delay =
        kFirstRetryDelay * (1 << std::min(this->failures - 1, kMostDoublings));
    this->timer.StartOnce(std::min(delay, kLongestRetryDelay));
  }

  void NoteAvailability(bool is_available) {
    if (this->handlers.on_availability) {
      this->handlers.on_availability(is_available);
    }
  }

  void Deliver(std::vector<Change> changes, ChangeSetKind kind) {
    if (kind == ChangeSetKind::kSnapshot || !changes.empty()) {
      this->handlers.on_changes(std::move(changes), kind);
    }
  }

  static constexpr int kMostDoublings = 4;
  static constexpr int kMostTimeoutFactor = 3;
  // A whole read takes several pages.
  static constexpr int kWholeReadFactor = 3;

  std::string name;
  ChangeFeed<Change> feed;
  FeedReadSchedule schedule;
  Handlers handlers;
  EventLoop& loop;
  Timer timer;
  CancelFeedRead cancel;
  bool is_waiting = false;
  std::optional<std::uint64_t> next_position;
  std::optional<TimePoint> last_read_at;
  int failures = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_CHANGE_FEED_READER_H_
