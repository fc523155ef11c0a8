// Tests which clients lose their connections when the process runs short of
// memory or descriptors.

#include "client_limits/client_limits.h"

#include <catch2/catch.hpp>

namespace parsleyquay {
namespace {

// Guards against limits where the settings state none.
TEST_CASE("unset process limits leave clients unlimited") {
  const ClientLimits limits = DeriveClientLimits({});
  CHECK(limits == ClientLimits{});
  const ClientUsage usage{.bytes = 1'000'000'000, .connections = 100'000};
  CHECK_FALSE(IsOverLimit(usage, limits));
  CHECK_FALSE(IsFull(usage, limits));
  CHECK_FALSE(IsMemoryTight(usage, limits));
}

// The machines of the fleet, and settings that are too low for any client.
TEST_CASE("clients get a share of the process limits") {
  const ClientLimits small =
      DeriveClientLimits({.memory_bytes = 112'000'000, .descriptors = 2'870});
  CHECK(small.bytes == 40'000'000);
  CHECK(small.connections == 1'158);
  const ClientLimits large =
      DeriveClientLimits({.memory_bytes = 512'000'000, .descriptors = 8'192});
  CHECK(large.bytes == 240'000'000);
  CHECK(large.connections == 3'523);
  CHECK(large.socket_buffer_bytes == 256 * 1024);
  const ClientLimits lowest =
      DeriveClientLimits({.memory_bytes = 8'000'000, .descriptors = 64});
  CHECK(lowest.bytes == 2'000'000);
  CHECK(lowest.connections == 1);
}

constexpr ClientLimits kLimits{.bytes = 800, .connections = 8};

// Load: clients that stopped short of the end of their bodies, among ordinary
// ones that are idle, new, or wait for a server.
TEST_CASE("clients that hold memory for long are closed first") {
  const std::vector<ConnectionLoad> loads = {
      {.index = 0, .bytes = 24, .age = seconds(12)},  // idle
      {.index = 1, .bytes = 300, .age = seconds(4)},  // stopped
      {.index = 2, .bytes = 300, .age = milliseconds(10)},
      {.index = 3,
       .bytes = 200,
       .phase = ConnectionPhase::kWaitsForServer,
       .age = seconds(20)},
      {.index = 4, .bytes = 250, .age = seconds(3)}};  // stopped
  CHECK(SelectConnectionsToClose(loads, kLimits) ==
        std::vector<std::size_t>{1, 4});
}

TEST_CASE("too many connections close the one that was idle for longest") {
  std::vector<ConnectionLoad> loads;
  for (std::size_t i = 0; i < 9; ++i) {
    loads.push_back(
        {.index = i, .bytes = 10, .age = milliseconds(100 * (i % 5))});
  }
  CHECK(SelectConnectionsToClose(loads, kLimits) ==
        std::vector<std::size_t>{4, 3});
}

TEST_CASE("nothing is closed within the limits") {
  const std::vector<ConnectionLoad> loads(8,
                                          {.bytes = 100, .age = seconds(100)});
  CHECK(SelectConnectionsToClose(loads, kLimits).empty());
}

// Guards against the refusal of a client that pauses as long as it may.
TEST_CASE("timeouts apply to clients only") {
  const ClientTimeouts timeouts{.header = seconds(3), .idle = seconds(15)};
  const TimePoint start;
  CHECK_FALSE(
      HasTimedOut({.progressed_at = start}, timeouts, start + seconds(12)));
  CHECK(HasTimedOut({.progressed_at = start}, timeouts, start + seconds(16)));
  const ConnectionProgress header{.progressed_at = start,
                                  .header_seen_at = start + seconds(11)};
  CHECK_FALSE(HasTimedOut(header, timeouts, start + seconds(14)));
  CHECK(HasTimedOut(header, timeouts, start + milliseconds(14'100)));
  CHECK_FALSE(HasTimedOut(
      {.progressed_at = start, .phase = ConnectionPhase::kWaitsForServer},
      timeouts, start + seconds(60)));
}

// Load: a burst of requests that servers work on, above the limit. Guards
// against giving up what could still be answered, instead of receiving less.
TEST_CASE("requests at servers are only given up above the margin") {
  std::vector<ConnectionLoad> loads(8,
                                    {.bytes = 110,
                                     .phase = ConnectionPhase::kWaitsForServer,
                                     .age = seconds(1),
                                     .stake = ConnectionStake::kRequest});
  for (std::size_t i = 0; i < loads.size(); ++i) {
    loads[i].index = i;
  }
  CHECK(IsOverLimit({.bytes = 880, .connections = 8}, kLimits));
  CHECK(SelectConnectionsToClose(loads, kLimits).empty());
  loads[3].bytes = 160;
  loads[3].phase = ConnectionPhase::kWaitsForClient;
  CHECK(SelectConnectionsToClose(loads, kLimits) ==
        std::vector<std::size_t>{3});
  // A connection without a request is closed first, and may suffice.
  loads[5] = {.index = 5, .bytes = 300, .age = seconds(1)};
  CHECK(SelectConnectionsToClose(loads, kLimits) ==
        std::vector<std::size_t>{5, 3});
  loads[3].bytes = 60;
  CHECK(SelectConnectionsToClose(loads, kLimits) ==
        std::vector<std::size_t>{5});
}

// Load: clients that read next to nothing of their responses, among others.
TEST_CASE("requests of slow clients are given up at the limit") {
  const std::vector<ConnectionLoad> loads = {
      {.index = 0,
       .bytes = 400,
       .age = seconds(9),
       .stake = ConnectionStake::kRequest},
      {.index = 1,
       .bytes = 300,
       .age = seconds(3),
       .stake = ConnectionStake::kSlowRequest},
      {.index = 2, .bytes = 110, .age = seconds(3)}};
  CHECK(SelectConnectionsToClose(loads, kLimits) ==
        std::vector<std::size_t>{2});
  auto more = loads;
  more[2].bytes = 104;
  CHECK(SelectConnectionsToClose(more, kLimits) == std::vector<std::size_t>{2});
  more[0].bytes = 600;
  CHECK(SelectConnectionsToClose(more, kLimits) ==
        std::vector<std::size_t>{2, 1});
  // Within the limit, only to make room for requests that were rejected.
  more[0].bytes = 350;
  CHECK(SelectConnectionsToClose(more, kLimits).empty());
  CHECK(SelectConnectionsToClose(more, kLimits, true) ==
        std::vector<std::size_t>{2});
  const TimePoint start;
  const TransferSample before{.at = start, .bytes = 1'000};
  CHECK_FALSE(IsClientSlow(before, {.at = start + seconds(1), .bytes = 1'000}));
  CHECK(IsClientSlow(before, {.at = start + seconds(2), .bytes = 1'500}) ==
        true);
  CHECK(IsClientSlow(before, {.at = start + seconds(2), .bytes = 60'000}) ==
        false);
}

// Guards against clients that make an instance give up requests by connecting.
TEST_CASE("new requests and connections are refused below the margin") {
  const ClientUsage at_limit{.bytes = 800, .connections = 8};
  CHECK_FALSE(IsShortOfMemory(at_limit, kLimits));
  CHECK(IsShortOfMemory(at_limit, kLimits, 1));
  CHECK_FALSE(IsFull(at_limit, kLimits));
  const ClientUsage accepting{.bytes = 850, .connections = 8};
  CHECK_FALSE(IsFull(accepting, kLimits));
  CHECK_FALSE(IsAboveMargin({.bytes = 850 + 24, .connections = 9}, kLimits));
  CHECK(IsFull({.bytes = 851, .connections = 8}, kLimits));
  CHECK(IsAboveMargin({.bytes = 901, .connections = 8}, kLimits));
  CHECK(IsFull({.bytes = 100, .connections = 9}, kLimits));
  CHECK_FALSE(IsAboveMargin({.bytes = 100, .connections = 9}, kLimits));
}

// Guards against a response that is cut because its reader is slow, and against
// a reader that keeps its connection open for good.
TEST_CASE("a connection lingers while its response is read") {
  const LingeringTimeouts timeouts{
      .idle = seconds(15), .silence = seconds(5), .discarding = seconds(30)};
  const TimePoint start;
  LingeringProgress progress{.progressed_at = start, .received_at = start};
  std::size_t unacknowledged = 60'000;
  TimePoint now = start;
  while (unacknowledged > 10'000) {
    now += seconds(14);
    progress = UpdateLingeringProgress(progress, unacknowledged,
                                       unacknowledged - 10'000, now);
    unacknowledged -= 10'000;
    CHECK_FALSE(HasLingeredTooLong(progress, timeouts, now));
  }
  const LingeringProgress stalled = UpdateLingeringProgress(
      progress, unacknowledged, unacknowledged, now + seconds(15));
  CHECK_FALSE(HasLingeredTooLong(stalled, timeouts, now + seconds(15)));
  CHECK(HasLingeredTooLong(stalled, timeouts, now + seconds(16)));
  now += seconds(14);
  progress = UpdateLingeringProgress(progress, unacknowledged, 0, now);
  CHECK_FALSE(HasLingeredTooLong(progress, timeouts, now + seconds(5)));
  CHECK(HasLingeredTooLong(progress, timeouts, now + seconds(6)));
}

// Guards against an upload without end behind the response that rejected it.
TEST_CASE("a client that sends on after its response is disconnected") {
  const LingeringTimeouts timeouts{
      .idle = seconds(15), .silence = seconds(5), .discarding = seconds(30)};
  const TimePoint start;
  LingeringProgress progress{.progressed_at = start, .received_at = start};
  progress = UpdateLingeringProgress(progress, 1, 0, start);
  progress.received_at = start + seconds(29);
  CHECK_FALSE(HasLingeredTooLong(progress, timeouts, start + seconds(30)));
  progress.received_at = start + seconds(31);
  CHECK(HasLingeredTooLong(progress, timeouts, start + seconds(31)));
  // Its own data do not replace reading the response.
  const LingeringProgress unread{.progressed_at = start,
                                 .received_at = start + seconds(16)};
  CHECK(HasLingeredTooLong(unread, timeouts, start + seconds(16)));
}

}  // namespace
}  // namespace parsleyquay
