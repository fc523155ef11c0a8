#ifndef PARSLEYQUAY_CLIENT_LIMITS_CLIENT_LIMITS_H_
#define PARSLEYQUAY_CLIENT_LIMITS_CLIENT_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// What the machine permits one process. Unset: no limit.
struct ProcessLimits {
  std::optional<std::uint64_t> memory_bytes;
  std::optional<std::size_t> descriptors;

  bool operator==(const ProcessLimits&) const = default;
};

// What all clients together may use of the process. Unset: no limit.
struct ClientLimits {
  std::optional<std::uint64_t> bytes;
  std::optional<std::size_t> connections;
  // Memory of each connection's receive buffer, and of its send buffer.
  std::optional<std::size_t> socket_buffer_bytes;

  bool operator==(const ClientLimits&) const = default;
};

// Returns the share of the process's limits that is left for clients.
ClientLimits DeriveClientLimits(const ProcessLimits& process);

// Whom a connection waits for.
enum class ConnectionPhase {
  kWaitsForClient,  // to send a request or to read a response
  kWaitsForServer,
};

// What is lost if a connection is closed, in the order in which connections are
// closed.
enum class ConnectionStake {
  kNothing,      // no server has received a request that is unanswered
  kSlowRequest,  // a server has, and the client hardly sends or reads
  kRequest,      // a server has
};

// What one client connection uses.
struct ConnectionLoad {
  std::size_t index = 0;
  std::uint64_t bytes = 0;
  ConnectionPhase phase = ConnectionPhase::kWaitsForClient;
  Duration age = Duration(0);  // since the current request or pause began
  ConnectionStake stake = ConnectionStake::kNothing;

  bool operator==(const ConnectionLoad&) const = default;
};

// What all client connections use.
struct ClientUsage {
  std::uint64_t bytes = 0;
  std::size_t connections = 0;

  bool operator==(const ClientUsage&) const = default;
};

// Returns whether clients use more than the limits permit, so that connections
// with nothing at stake are to be closed.
bool IsOverLimit(const ClientUsage& usage, const ClientLimits& limits);

// Returns whether clients would exceed the memory that is for them if they used
// the additional bytes. If so, no more is received for them, and requests that
// no server has received are rejected.
bool IsShortOfMemory(const ClientUsage& usage,
                     const ClientLimits& limits,
                     std::uint64_t additional_bytes = 0);

// Returns whether no new connection may be accepted. New ones are accepted a
// little above the limits, so that their requests can be rejected.
bool IsFull(const ClientUsage& usage, const ClientLimits& limits);

// Returns whether clients use so much more than the limits permit that
// connections are to be closed although requests are lost by that.
bool IsAboveMargin(const ClientUsage& usage, const ClientLimits& limits);

// Returns whether clients use more than half of the memory that is for them, so
// that responses should not be buffered beyond need.
bool IsMemoryTight(const ClientUsage& usage, const ClientLimits& limits);

// Returns the indices of the connections to close. Above the limits, or if
// memory is needed for new requests, chosen are those with nothing at stake and
// those of slow clients, so that the rest is below the limits; others only
// above the margin. Chosen first in each group are those that wait for their
// client and have held the most memory for the longest time (bytes times age).
std::vector<std::size_t> SelectConnectionsToClose(
    std::vector<ConnectionLoad> loads,
    const ClientLimits& limits,
    bool is_memory_needed = false);

// How much a client had sent and acknowledged at a time.
struct TransferSample {
  TimePoint at;
  std::uint64_t bytes = 0;

  bool operator==(const TransferSample&) const = default;
};

// Returns whether a client that was waited for all the time was slow between
// the samples, or std::nullopt if they are too close.
std::optional<bool> IsClientSlow(const TransferSample& before,
                                 const TransferSample& now);

// How long clients may take.
struct ClientTimeouts {
  Duration header;  // for a header section, from its first byte on
  Duration idle;    // without progress

  bool operator==(const ClientTimeouts&) const = default;
};

// The state of a connection as far as timeouts need it.
struct ConnectionProgress {
  TimePoint progressed_at;  // last byte of a request or response, or accepted
  // When the first bytes of a header section that is still incomplete were
  // seen; unset: there is none.
  std::optional<TimePoint> header_seen_at;
  ConnectionPhase phase = ConnectionPhase::kWaitsForClient;

  bool operator==(const ConnectionProgress&) const = default;
};

// Returns whether the connection is to be closed since its client is too slow.
bool HasTimedOut(const ConnectionProgress& progress,
                 const ClientTimeouts& timeouts,
                 TimePoint now);

// How long a connection may stay open after its last response, until its client
// closes it.
struct LingeringTimeouts {
  Duration idle;  // without progress, while a part of the response is unread
  // After the client's system has received the whole response: without data
  // from the client, and in all. A client that still sends a rejected upload is
  // disconnected in the end.
  Duration silence = seconds(5);
  Duration discarding = seconds(30);

  bool operator==(const LingeringTimeouts&) const = default;
};

// The state of such a connection.
struct LingeringProgress {
  TimePoint progressed_at;  // the client acknowledged more of the response
  TimePoint received_at;    // last data from the client
  // When the client had acknowledged the whole response; unset: it has not.
  std::optional<TimePoint> delivered_at;

  bool operator==(const LingeringProgress&) const = default;
};

// Returns the progress at `now`, given how many bytes were unacknowledged at
// the last check and are now. If that is unknown, the client counts as not
// having received the response.
LingeringProgress UpdateLingeringProgress(
    const LingeringProgress& progress,
    std::optional<std::size_t> unacknowledged_before,
    std::optional<std::size_t> unacknowledged,
    TimePoint now);

// Returns whether the connection is to be closed.
bool HasLingeredTooLong(const LingeringProgress& progress,
                        const LingeringTimeouts& timeouts,
                        TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_CLIENT_LIMITS_CLIENT_LIMITS_H_
