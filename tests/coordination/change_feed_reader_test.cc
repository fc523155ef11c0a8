// When a change feed is read: intervals, retries, and changes of the schedule.

#include "coordination/change_feed_reader.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "coordination/store_era.h"
#include "support/await.h"
#include "support/fake_feed.h"

namespace parsleyquay {
namespace {

constexpr FeedReadSchedule kOften = {.interval = milliseconds(700),
                                     .timeout = milliseconds(400)};
constexpr FeedReadSchedule kSometimes = {.interval = milliseconds(900),
                                         .timeout = milliseconds(400)};
constexpr FeedReadSchedule kRarely = {.interval = seconds(40),
                                      .timeout = milliseconds(400)};

// For the event loop to send a read that is due.
constexpr Duration kDelay = milliseconds(60);

// Reads a feed of numbers.
struct Reading {
  explicit Reading(FeedReadSchedule schedule)
      : reader(
            loop,
            "numbers",
            feed.feed(),
            schedule,
            {.on_changes =
                 [this](const std::vector<int>& changes, ChangeSetKind kind) {
                   if (kind == ChangeSetKind::kSnapshot) {
                     this->numbers.clear();
                   }
                   this->numbers.insert(changes.begin(), changes.end());
                 },
             .on_read = [this](TimePoint at) { this->known_at = at; },
             .new_era_delay = [this] { return this->new_era_delay; }}) {
    this->feed.Append(1);
    this->reader.Start();
    REQUIRE(RunLoopUntil(
        this->loop, [&] { return this->reader.position().has_value(); },
        seconds(1)));
  }

  void RunFor(Duration duration) {
    RunLoopUntil(
        this->loop, [] { return false; }, duration);
  }

  EventLoop loop;
  FakeFeed<int> feed{loop};
  std::set<int> numbers;  // that the reader knows
  Duration new_era_delay = Duration(0);
  TimePoint known_at;  // as of which the newest read knows all changes
  ChangeFeedReader<int> reader;
};

// Guards against an instance that takes what it knows of a feed for newer than
// it is, and against reads because of one that it takes for older.
TEST_CASE("a read tells as of when the changes are known") {
  constexpr Duration kWait = milliseconds(500);
  Reading reading({.wait = kWait,
                   .interval = milliseconds(10),
                   .timeout = milliseconds(400)});
  const TimePoint began = reading.loop.Now();
  SECTION("a wait in vain shows that there was no change until it ended") {
    reading.RunFor(kWait + kDelay);
    CHECK(reading.known_at >= began + kWait);
    CHECK(reading.known_at <= reading.loop.Now());
  }
  SECTION("a change may have been delivered late") {
    reading.RunFor(kWait / 2);
    reading.feed.Append(2);
    REQUIRE(RunLoopUntil(
        reading.loop, [&] { return reading.numbers.contains(2); }, kDelay));
    CHECK(reading.known_at < began + kDelay);
  }
}

// Guards against calls to a store that turns an instance away, though others
// tell it of the changes.
TEST_CASE("a paused reader does not retry a read after CancelRetry()") {
  Reading reading({.interval = seconds(5), .timeout = milliseconds(400)});
  reading.reader.Pause();
  reading.feed.SetAvailable(false);
  reading.reader.ReadNow();
  reading.RunFor(kDelay);
  REQUIRE_FALSE(reading.reader.is_available());
  reading.reader.CancelRetry();
  const auto before = reading.feed.sent_reads();
  reading.RunFor(milliseconds(1'000));
  CHECK(reading.feed.sent_reads() == before);
  reading.feed.SetAvailable(true);
  reading.feed.Append(2);
  SECTION("the next read is sent when it is due") {
    reading.reader.ReadNow();
  }
  SECTION("a reader that resumes reads at once") {
    reading.reader.Resume();
  }
  SECTION("the snapshot of a new era is read") {
    reading.feed.ReturnWith({1, 2});
    reading.reader.OnNewEra(1);
  }
  reading.RunFor(kDelay);
  CHECK(reading.numbers.contains(2));
  CHECK(reading.reader.is_available());
}

// Guards against reads of the store by an instance that has the changes from
// others.
TEST_CASE("a paused reader only reads when it is told to") {
  Reading reading({.wait = seconds(5),
                   .interval = milliseconds(10),
                   .timeout = milliseconds(400)});
  reading.RunFor(kDelay);
  reading.reader.Pause();
  const auto before = reading.feed.sent_reads();
  reading.feed.Append(2);
  reading.RunFor(kDelay);
  reading.reader.SetReadSchedule(kOften);
  reading.RunFor(milliseconds(800));
  CHECK(reading.feed.sent_reads() == before);
  CHECK_FALSE(reading.numbers.contains(2));
  reading.reader.ApplyPeerSnapshot({0, 2}, {1, 2});
  reading.RunFor(milliseconds(800));
  CHECK(reading.feed.sent_reads() == before);
  SECTION("once") {
    reading.feed.Append(3);
    reading.reader.ReadNow();
    reading.RunFor(milliseconds(800));
    CHECK(reading.numbers.contains(3));
    CHECK(reading.feed.sent_reads() == before + 1);
  }
  SECTION("until it succeeds") {
    reading.feed.Append(3);
    reading.feed.SetAvailable(false);
    reading.reader.ReadNow();
    reading.RunFor(kDelay);
    reading.feed.SetAvailable(true);
    reading.RunFor(milliseconds(800));
    CHECK(reading.numbers.contains(3));
    CHECK(reading.feed.sent_reads() == before + 2);
  }
  SECTION("in a new era") {
    reading.feed.ReturnWith({4});
    reading.reader.OnNewEra(1);
    reading.RunFor(milliseconds(800));
    CHECK(reading.numbers == std::set<int>{4});
    CHECK(reading.feed.sent_reads() == before + 1);
  }
  SECTION("after it was resumed") {
    reading.feed.Append(3);
    reading.reader.Resume();
    reading.RunFor(kDelay);
    CHECK(reading.numbers.contains(3));
    reading.RunFor(milliseconds(800));
    CHECK(reading.feed.sent_reads() > before + 1);
  }
}

// Guards against a list of servers that nobody reads for longer than an
// interval because the instance that reads it has just got that role.
TEST_CASE("a change of schedule does not postpone a read that is due") {
  Reading reading(kSometimes);
  reading.RunFor(milliseconds(600));
  REQUIRE(reading.feed.sent_reads() == 1);
  reading.reader.SetReadSchedule(kOften);
  reading.RunFor(milliseconds(100) + kDelay);
  CHECK(reading.feed.sent_reads() == 2);
}

// Guards against a change that is read only a whole interval after the instance
// that read the feed has failed.
TEST_CASE("a reader whose last read is older than its new interval reads") {
  Reading reading(kRarely);
  reading.RunFor(milliseconds(800));
  REQUIRE(reading.feed.sent_reads() == 1);
  reading.reader.SetReadSchedule(kOften);
  reading.RunFor(kDelay);
  CHECK(reading.feed.sent_reads() == 2);
}

TEST_CASE("a reader that is to read less often does not read at once") {
  Reading reading(kOften);
  reading.reader.SetReadSchedule(kRarely);
  reading.RunFor(milliseconds(800));
  CHECK(reading.feed.sent_reads() == 1);
}

// Guards against an instance that does not read for 40 s because its role has
// changed just after a failed read.
TEST_CASE("a change of schedule does not postpone the retry of a failed read") {
  Reading reading(kOften);
  reading.feed.SetAvailable(false);
  REQUIRE(RunLoopUntil(
      reading.loop, [&] { return !reading.reader.is_available(); },
      seconds(1)));
  reading.feed.SetAvailable(true);
  reading.reader.SetReadSchedule(kRarely);
  reading.RunFor(milliseconds(150) + kDelay);
  CHECK(reading.reader.is_available());
}

constexpr FeedReadSchedule kAtOnce = {.interval = milliseconds(20),
                                      .timeout = milliseconds(400)};

// Reads a feed with the changes 1 to 5 in era 0.
struct EraReading : Reading {
  explicit EraReading(FeedReadSchedule schedule = kAtOnce) : Reading(kAtOnce) {
    for (const int number : {2, 3, 4, 5}) {
      this->feed.Append(number);
    }
    REQUIRE(RunLoopUntil(
        this->loop, [&] { return this->numbers.size() == 5; }, seconds(2)));
    this->reader.SetReadSchedule(schedule);
  }
};

using Numbers = std::set<int>;

// Guards against a reader that waits until the offsets of a store that has
// returned with older data have caught up with its position.
TEST_CASE("a feed whose positions went back is read again in the new era") {
  EraReading reading;
  SECTION("the position is gone") {
    reading.feed.ReturnWith({1, 2});
    reading.RunFor(milliseconds(100));
    CHECK(reading.numbers == Numbers{1, 2});
    CHECK(reading.reader.position() == FeedPosition{1, 2});
  }
  SECTION("the position was reused, so that no read fails") {
    reading.feed.ReturnWith({1, 2, 13, 14, 15, 16});
    reading.RunFor(milliseconds(100));
    CHECK(reading.numbers == Numbers{1, 2, 13, 14, 15, 16});
  }
  reading.feed.Append(7);
  reading.RunFor(milliseconds(100));
  CHECK(reading.numbers.contains(7));
  CHECK(reading.reader.failed_reads() == 0);
}

// Guards against lists that are replaced by what a peer read before the store
// returned, and against peers whose newer list is taken for an older one.
TEST_CASE("a reader accepts changes of its own era or a snapshot of a later") {
  EraReading reading(kRarely);
  reading.new_era_delay = milliseconds(300);
  const std::uint64_t before = reading.feed.sent_reads();
  SECTION("a snapshot of a later era replaces everything, without a read") {
    reading.reader.ApplyPeerSnapshot({1, 2}, {1, 2});
    CHECK(reading.numbers == Numbers{1, 2});
    reading.reader.ApplyPeerSnapshot({0, 9}, {9});
    CHECK(reading.reader.ApplyPeerChanges({0, 2}, {0, 9}, {9}));
    CHECK(reading.numbers == Numbers{1, 2});
    CHECK(reading.reader.ApplyPeerChanges({1, 2}, {1, 3}, {3}));
    CHECK(reading.numbers == Numbers{1, 2, 3});
    reading.RunFor(milliseconds(500));
    CHECK(reading.feed.sent_reads() == before);
  }
  SECTION("changes of a later era make it read, after the delay") {
    reading.feed.ReturnWith({1, 2, 13});
    CHECK_FALSE(reading.reader.ApplyPeerChanges({1, 2}, {1, 3}, {13}));
    reading.reader.ReadNow();
    reading.RunFor(milliseconds(200));
    CHECK(reading.numbers == Numbers{1, 2, 3, 4, 5});
    CHECK(reading.feed.sent_reads() == before);
    reading.RunFor(milliseconds(200));
    CHECK(reading.numbers == Numbers{1, 2, 13});
    CHECK(reading.feed.sent_reads() == before + 1);
  }
}

// Guards against a burst of reads by a large fleet in a new era.
TEST_CASE("the reads of 444 instances in a new era are spread") {
  std::map<Duration, int> reads;
  for (std::size_t rank = 0; rank < 444; ++rank) {
    ++reads[NewEraReadDelay(rank, milliseconds(400))];
  }
  for (const auto& [delay, count] : reads) {
    CHECK(count <= 23);
    CHECK(delay < milliseconds(400));
  }
}

// Guards against a response that was in flight when the store returned.
TEST_CASE("a response of an earlier era than the known one is discarded") {
  EraReading reading;
  reading.feed.Append(6);
  reading.reader.OnNewEra(1);
  reading.RunFor(milliseconds(100));
  CHECK(reading.numbers == Numbers{1, 2, 3, 4, 5});
  CHECK(reading.reader.position()->era == 0);
  reading.feed.ReturnWith({1, 2});
  CHECK(RunLoopUntil(
      reading.loop,
      [&] {
        return reading.numbers == Numbers{1, 2};
      },
      seconds(2)));
}

}  // namespace
}  // namespace parsleyquay
