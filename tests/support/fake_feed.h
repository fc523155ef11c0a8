#ifndef PARSLEYQUAY_TESTS_SUPPORT_FAKE_FEED_H_
#define PARSLEYQUAY_TESTS_SUPPORT_FAKE_FEED_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "coordination/change_feed.h"
#include "event/timer.h"

namespace parsleyquay {

// A change feed that a test fills with changes. As with a real store, a read
// completes in a later iteration of the event loop.
template <typename Change>
class FakeFeed {
 public:
  explicit FakeFeed(EventLoop& loop)
      : loop(loop), timer(loop, [this] { this->CompleteReads(); }) {
    this->timer.StartRepeating(milliseconds(2));
  }

  ChangeFeed<Change> feed() {
    return {.read_all =
                [this](const FeedReadOptions& options,
                       typename ChangeFeed<Change>::OnRead on_read) {
                  return this->AddRead(
                      {.on_read = std::move(on_read),
                       .times_out_at = this->loop.Now() + options.timeout});
                },
            .read_from =
                [this](FeedPosition position, const FeedReadOptions& options,
                       typename ChangeFeed<Change>::OnRead on_read) {
                  return this->AddRead(
                      {.position = position.offset,
                       .on_read = std::move(on_read),
                       .wait_ends_at = this->loop.Now() + options.wait,
                       .times_out_at = this->loop.Now() + options.timeout});
                }};
  }

  void Append(Change change) { this->changes.push_back(std::move(change)); }
  void SetAvailable(bool available) { this->is_available = available; }

  // The store returns in the next era with these changes only.
  void ReturnWith(std::vector<Change> older) {
    this->changes = std::move(older);
    ++this->era;
  }

  // The next `count` reads get no result and fail after their timeout.
  void SilenceReads(int count) { this->silent_reads = count; }

  // Reads take this long. One whose timeout is shorter fails.
  void SetReadTime(Duration duration) { this->read_time = duration; }

  // Returns how many reads have been sent.
  std::uint64_t sent_reads() const { return this->last_id; }

 private:
  struct Read {
    std::optional<std::uint64_t> position;
    typename ChangeFeed<Change>::OnRead on_read;
    TimePoint wait_ends_at;
    TimePoint times_out_at;
    TimePoint ends_at;
    std::uint64_t id = 0;
  };

  CancelFeedRead AddRead(Read read) {
    const std::uint64_t id = ++this->last_id;
    read.id = id;
    const bool is_silent = this->silent_reads > 0;
    this->silent_reads -= is_silent ? 1 : 0;
    read.ends_at =
        is_silent ? TimePoint::max() : this->loop.Now() + this->read_time;
    this->reads.push_back(std::move(read));
    return [this, id] {
      std::erase_if(this->reads, [id](const Read& r) { return r.id == id; });
    };
  }

  void CompleteReads() {
    std::deque<Read> pending;
    std::swap(pending, this->reads);
    for (Read& read : pending) {
      const std::uint64_t from = read.position.value_or(0);
      const TimePoint now = this->loop.Now();
      const bool has_timed_out =
          now >= read.times_out_at && read.ends_at > read.times_out_at;
      const bool has_ended = now >= read.ends_at || has_timed_out;
      const bool waits_for_change = this->is_available && !has_timed_out &&
                                    now < read.wait_ends_at &&
                                    from == this->changes.size();
      if (!has_ended || waits_for_change) {
        this->reads.push_back(std::move(read));
      } else if (!this->is_available || has_timed_out) {
        read.on_read(
            {.status = FeedReadStatus::kUnavailable, .detail = "test"});
      } else if (from > this->changes.size()) {
        read.on_read({.status = FeedReadStatus::kExpired,
                      .next_position = {this->era, 0}});
      } else {
        const auto begin =
            this->changes.begin() + static_cast<std::ptrdiff_t>(from);
        read.on_read({.status = FeedReadStatus::kRead,
                      .changes = {begin, this->changes.end()},
                      .next_position = {this->era, this->changes.size()}});
      }
    }
  }

  EventLoop& loop;
  std::vector<Change> changes;
  std::uint64_t era = 0;
  std::deque<Read> reads;
  std::uint64_t last_id = 0;
  bool is_available = true;
  Duration read_time = Duration(0);
  int silent_reads = 0;  // to come
  Timer timer;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_FAKE_FEED_H_
