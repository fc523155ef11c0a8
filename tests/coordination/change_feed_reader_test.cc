// When a change feed is read: intervals, retries, and changes of the schedule.

#include "coordination/change_feed_reader.h"

#include <catch2/catch.hpp>

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
      : reader(loop,
               "numbers",
               feed.feed(),
               schedule,
               {.on_changes = [](const std::vector<int>&, ChangeSetKind) {}}) {
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
  ChangeFeedReader<int> reader;
};

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

}  // namespace
}  // namespace parsleyquay
