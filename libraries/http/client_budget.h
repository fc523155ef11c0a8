#ifndef PARSLEYQUAY_HTTP_CLIENT_BUDGET_H_
#define PARSLEYQUAY_HTTP_CLIENT_BUDGET_H_

#include <microhttpd.h>

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string_view>

#include "client_limits/client_limits.h"
#include "event/event_loop.h"
#include "event/timer.h"

namespace parsleyquay {

class ServerExchange;

// A connection of a client to one of the servers of the process.
struct ClientConnection {
  int socket = -1;
  ServerExchange* exchange = nullptr;  // null between two requests
  TimePoint began_at;       // of the current request, or of the pause before it
  TimePoint progressed_at;  // last data from or to the client
  // Bytes received when the current pause began; unset until it is known.
  std::optional<std::uint64_t> received_before;
  std::optional<TimePoint> header_seen_at;  // see ConnectionProgress
  // Bytes that the client had acknowledged at the last check of its timeouts.
  std::optional<std::uint64_t> acknowledged_before;
  // While memory is short: what the client had transferred when it was first
  // waited for, and whether it was slow since.
  std::optional<TransferSample> sample;
  bool is_slow = false;
  bool is_closing = false;
  bool is_lingering = false;                   // see LingeringConnections
  std::list<ClientConnection>::iterator self;  // in the budget's list
};

// Why connections are closed.
enum class ClosureReason {
  kLimit,  // those without a request at a server, and the slowest ones, since
           // the limits were exceeded
  kRequestLost,  // those with a request at a server, above the margin
  kRefused,      // new ones, above the limits
  kTimeout,
};

// "limit", "request_lost", "refused" or "timeout".
std::string_view ClosureReasonName(ClosureReason reason);

// Keeps the memory and the connections of all clients of the process, at all
// its HttpServers, within limits. When they are reached, it first makes the
// servers receive less, then rejects requests that have not been passed on and
// closes connections without a request; what has been passed on is only given
// up above a margin. Closes connections whose clients are too slow.
class ClientBudget {
 public:
  // Reports connections that were closed, at most once in a second.
  using ClosureHandler = std::function<
      void(ClosureReason reason, std::size_t count, const ClientUsage& usage)>;

  ClientBudget(EventLoop& loop,
               const ClientLimits& limits,
               ClosureHandler on_closure);

  const ClientLimits& limits() const { return this->own_limits; }
  void SetTimeouts(const ClientTimeouts& timeouts) {
    this->timeouts = timeouts;
  }
  const ClientTimeouts& client_timeouts() const { return this->timeouts; }

  // Returns whether a new connection may be accepted.
  bool MayAccept();
  ClientConnection* Add(int socket);
  void Remove(const ClientConnection& connection);
  // Records that the connection is now only open for its last response, on the
  // given socket. It counts on, but its owner applies the timeouts.
  void BeginLingering(ClientConnection& connection, int socket);
  // Records that the connection is between two requests from now on.
  void EndRequest(ClientConnection& connection);

  // Adds to, or subtracts from, the memory that requests hold.
  void Charge(std::int64_t bytes);
  // Returns whether nothing more may be received for now. If not, the exchange
  // is told by ContinueWithinBudget() when it may.
  bool MustWait();
  // Returns whether there is memory for a request that needs the given bytes.
  // If not, connections are closed for later ones.
  bool HasRoomFor(std::uint64_t bytes);
  bool is_memory_tight() const {
    return IsMemoryTight(this->usage(), this->own_limits);
  }
  // Returns whether a client has not acknowledged all that was sent to it.
  bool HasUnacknowledgedData() const;
  // Returns whether a client has sent a part of a request that has not been
  // read, or has sent nothing yet and connected less than
  // `first_request_timeout` ago.
  bool MayReceiveRequest(Duration first_request_timeout) const;
  // Returns what clients use, with the socket buffers as last measured.
  ClientUsage usage() const;

 private:
  void Check();
  void ScheduleCheck(Duration delay);
  void FreeMemory();
  ConnectionStake StakeOf(ClientConnection& connection,
                          bool has_unread_response) const;
  void GiveUp(ClientConnection& connection, ConnectionStake stake);
  void CloseTimedOut();
  void UpdateProgress(ClientConnection& connection, TimePoint now) const;
  void Close(ClientConnection& connection, ClosureReason reason);
  void ReportClosures();

  EventLoop& loop;
  ClientLimits own_limits;
  ClosureHandler on_closure;
  ClientTimeouts timeouts;
  std::list<ClientConnection> connections;
  std::uint64_t held_bytes = 0;    // by requests
  std::uint64_t socket_bytes = 0;  // in socket buffers, at the last check
  std::map<ClosureReason, std::size_t> unreported;  // closures
  TimePoint reported_at;
  TimePoint measured_at;  // the socket buffers
  TimePoint timeouts_checked_at;
  std::optional<TimePoint> early_check_at;  // unset: none is scheduled
  bool has_waiting_exchanges = false;
  bool is_memory_needed = false;  // a request was rejected since the last check
  Timer regular_check;
  Timer early_check;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_CLIENT_BUDGET_H_
