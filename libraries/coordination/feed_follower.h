#ifndef PARSLEYQUAY_COORDINATION_FEED_FOLLOWER_H_
#define PARSLEYQUAY_COORDINATION_FEED_FOLLOWER_H_

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
struct FollowPlan {
  Duration wait = Duration(0);      // how long a read waits for a change
  Duration interval = Duration(0);  // from a successful read to the next read
  Duration timeout = seconds(1);    // of a read, in addition to `wait`

  bool operator==(const FollowPlan&) const = default;
};

enum class ChangeSet {
  kWhole,  // the newest change of every key; a key without one does not exist
  kLater,  // the changes since the last delivery
};

// Reads a change feed continuously: first a snapshot, then the changes after
// it, and a snapshot again if the changes at its position are no longer
// retained. Failed reads are retried with exponential delays.
template <typename Change>
class FeedFollower {
 public:
  struct Handlers {
    std::function<void(std::vector<Change> changes, ChangeSet set)> on_changes;
    // Called when the feed becomes unavailable, and when it is available again.
    std::function<void(bool is_available)> on_availability;
  };

  FeedFollower(EventLoop& loop,
               std::string name,
               ChangeFeed<Change> feed,
               FollowPlan plan,
               Handlers handlers)
      : name(std::move(name)),
        feed(std::move(feed)),
        plan(plan),
        handlers(std::move(handlers)),
        loop(loop),
        timer(loop, [this] { this->ReadNext(); }) {}

  ~FeedFollower() { this->Stop(); }
  FeedFollower(const FeedFollower&) = delete;
  FeedFollower& operator=(const FeedFollower&) = delete;

  void Start() { this->Read({.timeout = this->plan.timeout}); }

  void Stop() {
    this->timer.Stop();
    this->CancelCurrent();
  }

  // Takes effect at once. A read that waits for a change is replaced if the new
  // schedule has a shorter wait.
  void SetPlan(FollowPlan new_plan) {
    if (new_plan == this->plan) {
      return;
    }
    const bool has_shorter_wait = new_plan.wait < this->plan.wait;
    this->plan = new_plan;
    if (!this->cancel) {
      this->timer.StartOnce(this->plan.interval);
    } else if (this->is_waiting && has_shorter_wait) {
      this->ReadNow();
    }
  }

  // Reads at once, on a new connection, in place of a read that waits for a
  // change: the connection of that read may have stopped responding. Does
  // nothing while a read without a wait is in progress, or while a retry after
  // a failed read is pending.
  void ReadNow() {
    const bool is_reading = this->cancel && !this->is_waiting;
    if (is_reading || this->failures > 0) {
      return;
    }
    this->CancelCurrent();
    this->Read({.timeout = this->plan.timeout, .needs_new_connection = true});
  }

  // Returns the position up to which all changes are known, or std::nullopt if
  // there has been no snapshot yet.
  std::optional<std::uint64_t> position() const { return this->next_position; }

  // Applies the changes that another instance has read from position `from` up
  // to position `to`. Returns false, without applying them, if changes before
  // `from` are missing here.
  bool Adopt(std::uint64_t from,
             std::uint64_t to,
             std::vector<Change> changes) {
    if (!this->next_position || *this->next_position < from) {
      return false;
    }
    if (to > *this->next_position) {
      this->next_position = to;
      this->Deliver(std::move(changes), ChangeSet::kLater);
    }
    return true;
  }

  bool is_available() const { return this->failures == 0; }
  // Returns when the last successful read was sent, or std::nullopt if there
  // was none.
  std::optional<TimePoint> read_at() const { return this->last_read_at; }

 private:
  // The delay after a failed read. It is short at first because most outages
  // are short, and doubles up to a maximum because rejected requests also put
  // load on the store.
  static constexpr Duration kMinRetryDelay = milliseconds(150);
  static constexpr Duration kMaxRetryDelay = milliseconds(900);

  void CancelCurrent() {
    if (this->cancel) {
      const CancelRead cancel_read = std::move(this->cancel);
      this->cancel = nullptr;
      cancel_read();
    }
  }

  // After a failed read the next one does not wait for a change, so that it
  // shows soon whether the feed is available again. Its timeout is longer, in
  // case the feed is only slow.
  void ReadNext() {
    if (this->failures > 0) {
      const int factor = std::min(this->failures + 1, kMaxTimeoutFactor);
      this->Read({.timeout = this->plan.timeout * factor,
                  .needs_new_connection = true});
      return;
    }
    this->Read({.wait = this->plan.wait,
                .timeout = this->plan.wait + this->plan.timeout});
  }

  void Read(ReadTerms terms) {
    this->timer.Stop();
    if (this->cancel) {
      return;
    }
    const TimePoint sent_at = this->loop.Now();
    auto on_read = [this, sent_at](FeedRead<Change> read) {
      this->cancel = nullptr;
      this->OnRead(std::move(read), sent_at);
    };
    this->is_waiting = this->next_position && terms.wait > Duration(0);
    if (this->next_position) {
      this->cancel =
          this->feed.read_from(*this->next_position, terms, std::move(on_read));
      return;
    }
    terms.timeout = this->plan.timeout * kSnapshotTimeoutFactor;
    this->cancel = this->feed.read_all(terms, std::move(on_read));
  }

  void OnRead(FeedRead<Change> read, TimePoint sent_at) {
    if (read.status == FeedStatus::kUnavailable) {
      this->OnUnavailable(read.detail);
      return;
    }
    if (this->failures > 0) {
      LogEvent(LogLevel::kInfo, "feed_regained",
               {{"feed", this->name},
                {"failed_reads", std::to_string(this->failures)}});
      this->failures = 0;
      this->NotifyAvailability(true);
    }
    if (read.status == FeedStatus::kExpired) {
      LogEvent(LogLevel::kInfo, "feed_expired",
               {{"feed", this->name},
                {"position", std::to_string(*this->next_position)}});
      this->next_position.reset();
      this->Read({.timeout = this->plan.timeout});
      return;
    }
    const ChangeSet set =
        this->next_position ? ChangeSet::kLater : ChangeSet::kWhole;
    this->last_read_at = sent_at;
    this->next_position =
        std::max(this->next_position.value_or(0), read.next_position);
    this->timer.StartOnce(this->plan.interval);
    this->Deliver(std::move(read.changes), set);
  }

  void OnUnavailable(const std::string& detail) {
    ++this->failures;
    if (this->failures == 1) {
      LogEvent(LogLevel::kWarning, "feed_lost",
               {{"feed", this->name}, {"detail", detail}});
      this->NotifyAvailability(false);
    }
    const Duration delay =
        kMinRetryDelay * (1 << std::min(this->failures - 1, kMaxDoublings));
    this->timer.StartOnce(std::min(delay, kMaxRetryDelay));
  }

  void NotifyAvailability(bool is_available) {
    if (this->handlers.on_availability) {
      this->handlers.on_availability(is_available);
    }
  }

  void Deliver(std::vector<Change> changes, ChangeSet set) {
    if (set == ChangeSet::kWhole || !changes.empty()) {
      this->handlers.on_changes(std::move(changes), set);
    }
  }

  static constexpr int kMaxDoublings = 4;
  static constexpr int kMaxTimeoutFactor = 3;
  // A snapshot takes several pages to read.
  static constexpr int kSnapshotTimeoutFactor = 3;

  std::string name;
  ChangeFeed<Change> feed;
  FollowPlan plan;
  Handlers handlers;
  EventLoop& loop;
  Timer timer;
  CancelRead cancel;
  bool is_waiting = false;  // whether the current read waits for a change
  std::optional<std::uint64_t> next_position;
  std::optional<TimePoint> last_read_at;
  int failures = 0;  // since the last successful read
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_FEED_FOLLOWER_H_
