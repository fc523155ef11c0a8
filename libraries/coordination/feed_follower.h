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

// How a feed is followed.
struct FollowPlan {
  Duration wait = Duration(0);      // a read may wait so long for a change
  Duration interval = Duration(0);  // from one read to the next
  Duration timeout = seconds(1);    // of a read, beyond `wait`

  bool operator==(const FollowPlan&) const = default;
};

enum class ChangeSet {
  kWhole,  // the newest of every key: what is not named is not there
  kLater,  // what came since
};

// Keeps up with one feed: reads it whole, then what comes later, and whole
// again when its position is no longer kept. Unavailability is retried with
// growing delays.
template <typename Change>
class FeedFollower {
 public:
  struct Handlers {
    std::function<void(std::vector<Change> changes, ChangeSet set)> on_changes;
    // The feed answers again after a time in which it did not, or the reverse.
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

  // Takes effect at once, also on a read that waits for a change.
  void SetPlan(FollowPlan new_plan) {
    if (new_plan == this->plan) {
      return;
    }
    const bool ends_sooner = new_plan.wait < this->plan.wait;
    this->plan = new_plan;
    if (!this->cancel) {
      this->timer.StartOnce(this->plan.interval);
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
    this->Read({.timeout = this->plan.timeout, .needs_new_connection = true});
  }

  // The position up to which all changes are known; nothing at first.
  std::optional<std::uint64_t> position() const { return this->next_position; }

  // Takes over changes that another instance has read between two positions.
  // Returns false when something before them is missing here.
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
  // When the newest successful read was sent.
  std::optional<TimePoint> read_at() const { return this->last_read_at; }

 private:
  // Delays after an unsuccessful read: short, since most outages are, and
  // doubled up to a bound, since refused calls count against the store too.
  static constexpr Duration kFirstRetryDelay = milliseconds(150);
  static constexpr Duration kLongestRetryDelay = milliseconds(900);

  void CancelCurrent() {
    if (this->cancel) {
      const CancelRead cancel_read = std::move(this->cancel);
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
    terms.timeout = this->plan.timeout * kWholeReadFactor;
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
      this->NoteAvailability(true);
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

  void Deliver(std::vector<Change> changes, ChangeSet set) {
    if (set == ChangeSet::kWhole || !changes.empty()) {
      this->handlers.on_changes(std::move(changes), set);
    }
  }

  static constexpr int kMostDoublings = 4;
  static constexpr int kMostTimeoutFactor = 3;
  // A whole read takes several pages.
  static constexpr int kWholeReadFactor = 3;

  std::string name;
  ChangeFeed<Change> feed;
  FollowPlan plan;
  Handlers handlers;
  EventLoop& loop;
  Timer timer;
  CancelRead cancel;
  bool is_waiting = false;
  std::optional<std::uint64_t> next_position;
  std::optional<TimePoint> last_read_at;
  int failures = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_FEED_FOLLOWER_H_
