#include "http/client_budget.h"

#include <linux/sock_diag.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "http/connection_state.h"
#include "http/server_exchange.h"

namespace parsleyquay {

namespace {

// The part of a connection's memory that libmicrohttpd touches in general. It
// reserves more (kConnectionMemoryBytes) of which a long header section and
// request bodies use up to all.
constexpr std::uint64_t kConnectionBytes = 24 * 1024;

// How often the memory in socket buffers is measured while it may matter, and
// timeouts are checked.
constexpr Duration kCheckInterval = milliseconds(100);
constexpr Duration kTimeoutCheckInterval = seconds(1);
// Above the limits.
constexpr Duration kUrgentCheckInterval = milliseconds(50);
// After memory has become free for exchanges that wait for it.
constexpr Duration kResumeDelay = milliseconds(5);
constexpr Duration kReportInterval = seconds(1);
// While less than half of the memory is in use.
constexpr Duration kRareCheckInterval = seconds(1);

// The memory of the data in the kernel's buffers of a connection.
struct SocketMemory {
  std::uint64_t received_bytes = 0;
  std::uint64_t unacknowledged_bytes = 0;
};

SocketMemory GetSocketMemory(int socket) {
  std::array<std::uint32_t, SK_MEMINFO_VARS> values = {};
  socklen_t size = sizeof(values);
  if (getsockopt(socket, SOL_SOCKET, SO_MEMINFO, values.data(), &size) != 0) {
    return {};
  }
  return {.received_bytes = values[SK_MEMINFO_RMEM_ALLOC],
          .unacknowledged_bytes = values[SK_MEMINFO_WMEM_QUEUED]};
}

ConnectionPhase PhaseOf(const ClientConnection& connection) {
  return connection.exchange && connection.exchange->is_awaiting_server()
             ? ConnectionPhase::kWaitsForServer
             : ConnectionPhase::kWaitsForClient;
}

}  // namespace

std::string_view ClosureReasonName(ClosureReason reason) {
  switch (reason) {
    case ClosureReason::kLimit:
      return "limit";
    case ClosureReason::kRequestLost:
      return "request_lost";
    case ClosureReason::kRefused:
      return "refused";
    case ClosureReason::kTimeout:
      return "timeout";
  }
  return "unknown";
}

ClientBudget::ClientBudget(EventLoop& loop,
                           const ClientLimits& limits,
                           ClosureHandler on_closure)
    : loop(loop),
      own_limits(limits),
      on_closure(std::move(on_closure)),
      timeouts{.header = Duration::max(), .idle = Duration::max()},
      regular_check(loop, [this] { this->Check(); }),
      early_check(loop, [this] { this->Check(); }) {
  this->regular_check.StartRepeating(kCheckInterval);
}

ClientUsage ClientBudget::usage() const {
  return {.bytes = this->connections.size() * kConnectionBytes +
                   this->held_bytes + this->socket_bytes,
          .connections = this->connections.size()};
}

bool ClientBudget::MayAccept() {
  // A connection that is still to be closed counts until then.
  if (IsFull(this->usage(), this->limits())) {
    ++this->unreported[ClosureReason::kRefused];
    return false;
  }
  return true;
}

ClientConnection* ClientBudget::Add(int socket) {
  this->connections.push_back({.socket = socket,
                               .began_at = this->loop.Now(),
                               .progressed_at = this->loop.Now(),
                               .received_before = 0});
  this->connections.back().self = std::prev(this->connections.end());
  this->Charge(0);
  return &this->connections.back();
}

void ClientBudget::Remove(const ClientConnection& connection) {
  this->connections.erase(connection.self);
}

void ClientBudget::BeginLingering(ClientConnection& connection, int socket) {
  connection.socket = socket;
  connection.exchange = nullptr;
  connection.began_at = this->loop.Now();
  connection.is_lingering = true;
}

bool ClientBudget::HasUnacknowledgedData() const {
  return std::ranges::any_of(
      this->connections, [](const ClientConnection& connection) {
        return CountUnacknowledgedBytes(connection.socket).value_or(0) > 0;
      });
}

bool ClientBudget::MayReceiveRequest(Duration first_request_timeout) const {
  const TimePoint now = this->loop.Now();
  return std::ranges::any_of(
      this->connections, [&](const ClientConnection& connection) {
        if (connection.exchange || connection.is_closing ||
            connection.is_lingering) {
          return false;
        }
        if (!connection.received_before) {
          return GetUnreadState(connection.socket) == UnreadState::kBytes;
        }
        const std::uint64_t received_bytes =
            CountReceivedBytes(connection.socket).value_or(0);
        return received_bytes > *connection.received_before ||
               (received_bytes == 0 &&
                now - connection.began_at < first_request_timeout);
      });
}

void ClientBudget::EndRequest(ClientConnection& connection) {
  connection.exchange = nullptr;
  connection.began_at = this->loop.Now();
  connection.progressed_at = this->loop.Now();
  connection.received_before = std::nullopt;
  connection.header_seen_at = std::nullopt;
}

void ClientBudget::Charge(std::int64_t bytes) {
  this->held_bytes += static_cast<std::uint64_t>(bytes);
  // NOTE: connections are not closed here, since this is called within
  // callbacks of libcurl, which must not be told to end other calls there.
  const ClientUsage usage = this->usage();
  if (IsAboveMargin(usage, this->limits())) {
    this->ScheduleCheck(Duration(0));
  } else if (IsOverLimit(usage, this->limits())) {
    this->ScheduleCheck(kUrgentCheckInterval);
  } else if (bytes < 0 && this->has_waiting_exchanges) {
    this->ScheduleCheck(kResumeDelay);
  }
}

// Checks after the delay, or sooner if an earlier check is scheduled.
void ClientBudget::ScheduleCheck(Duration delay) {
  const TimePoint time = this->loop.Now() + delay;
  if (!this->early_check_at || time < *this->early_check_at) {
    this->early_check_at = time;
    this->early_check.StartOnce(delay);
  }
}

bool ClientBudget::MustWait() {
  const bool must_wait = IsShortOfMemory(this->usage(), this->limits());
  this->has_waiting_exchanges = this->has_waiting_exchanges || must_wait;
  return must_wait;
}

bool ClientBudget::HasRoomFor(std::uint64_t bytes) {
  const bool has_room = !IsShortOfMemory(this->usage(), this->limits(), bytes);
  this->is_memory_needed = this->is_memory_needed || !has_room;
  return has_room;
}

void ClientBudget::Check() {
  this->early_check_at.reset();
  if (this->loop.Now() - this->timeouts_checked_at >= kTimeoutCheckInterval) {
    this->timeouts_checked_at = this->loop.Now();
    this->CloseTimedOut();
  }
  // Without this, each check would ask the kernel about each connection.
  const std::uint64_t most_socket_bytes =
      this->connections.size() * 2 *
      this->limits().socket_buffer_bytes.value_or(0);
  const ClientUsage usage = this->usage();
  const ClientUsage most{
      .bytes = usage.bytes - this->socket_bytes + most_socket_bytes,
      .connections = usage.connections};
  const bool is_urgent =
      this->is_memory_tight() || IsOverLimit(usage, this->limits());
  const Duration interval = IsAboveMargin(usage, this->limits()) ? Duration(0)
                            : is_urgent ? kUrgentCheckInterval
                                        : kRareCheckInterval;
  if (!IsOverLimit(most, this->limits()) && !this->is_memory_needed) {
    this->socket_bytes = 0;
  } else if (this->loop.Now() - this->measured_at >= interval) {
    this->measured_at = this->loop.Now();
    this->FreeMemory();
  }
  if (this->has_waiting_exchanges &&
      !IsShortOfMemory(this->usage(), this->limits())) {
    this->has_waiting_exchanges = false;
    for (const ClientConnection& connection : this->connections) {
      if (connection.exchange) {
        connection.exchange->ContinueWithinBudget();
      }
    }
  }
  this->ReportClosures();
}

void ClientBudget::ReportClosures() {
  if (this->unreported.empty() ||
      this->loop.Now() - this->reported_at < kReportInterval) {
    return;
  }
  this->reported_at = this->loop.Now();
  for (const auto& [reason, count] : std::exchange(this->unreported, {})) {
    this->on_closure(reason, count, this->usage());
  }
}

// Measures the socket buffers, and rejects requests and closes connections if
// that is necessary.
void ClientBudget::FreeMemory() {
  const TimePoint now = this->loop.Now();
  std::vector<ClientConnection*> candidates;
  std::vector<ConnectionLoad> loads;
  this->socket_bytes = 0;
  for (ClientConnection& connection : this->connections) {
    const SocketMemory memory = this->limits().bytes
                                    ? GetSocketMemory(connection.socket)
                                    : SocketMemory{};
    // What the exchange was charged for its socket is not counted twice.
    const std::uint64_t charged_bytes =
        connection.exchange ? connection.exchange->charged_socket_bytes() : 0;
    const std::uint64_t measured_bytes =
        memory.received_bytes + memory.unacknowledged_bytes;
    const std::uint64_t uncharged_bytes =
        measured_bytes - std::min(measured_bytes, charged_bytes);
    this->socket_bytes += uncharged_bytes;
    if (connection.is_closing) {
      continue;
    }
    const std::uint64_t held_bytes =
        connection.exchange ? connection.exchange->charged_bytes() : 0;
    loads.push_back(
        {.index = candidates.size(),
         .bytes = kConnectionBytes + held_bytes + uncharged_bytes,
         .phase = PhaseOf(connection),
         .age = now - connection.began_at,
         .stake = this->StakeOf(connection, memory.unacknowledged_bytes > 0)});
    candidates.push_back(&connection);
  }
  const bool is_memory_needed = std::exchange(this->is_memory_needed, false);
  for (const std::size_t index :
       SelectConnectionsToClose(loads, this->limits(), is_memory_needed)) {
    this->GiveUp(*candidates[index], loads[index].stake);
  }
}

// Returns what is lost if the connection is closed now. Updates the sample of
// what its client has transferred.
ConnectionStake ClientBudget::StakeOf(ClientConnection& connection,
                                      bool has_unread_response) const {
  const ServerExchange* exchange = connection.exchange;
  const bool has_request =
      has_unread_response || (exchange && exchange->is_passed_on());
  const bool waits_for_client =
      has_unread_response || (exchange && !exchange->is_suspended);
  if (!has_request || !waits_for_client) {
    connection.sample.reset();
    connection.is_slow = false;
    return has_request ? ConnectionStake::kRequest : ConnectionStake::kNothing;
  }
  const TimePoint now = this->loop.Now();
  const auto counts = GetTransferCounts(connection.socket);
  if (!counts) {
    // Without the kernel's counts, only the exchange's own progress is known.
    connection.is_slow =
        IsClientSlow({.at = connection.progressed_at}, {.at = now})
            .value_or(false);
  } else {
    const TransferSample sample{
        .at = now,
        .bytes = counts->received_bytes + counts->acknowledged_bytes};
    if (!connection.sample) {
      connection.sample = sample;
    }
    if (const auto is_slow = IsClientSlow(*connection.sample, sample)) {
      connection.is_slow = *is_slow;
      connection.sample = sample;
    }
  }
  return connection.is_slow ? ConnectionStake::kSlowRequest
                            : ConnectionStake::kRequest;
}

// Rejects the request of the connection if no server has received it, and
// otherwise closes the connection.
void ClientBudget::GiveUp(ClientConnection& connection, ConnectionStake stake) {
  if (stake == ConnectionStake::kNothing && connection.exchange &&
      connection.exchange->Reject()) {
    return;
  }
  this->Close(connection, stake == ConnectionStake::kRequest
                              ? ClosureReason::kRequestLost
                              : ClosureReason::kLimit);
}

void ClientBudget::CloseTimedOut() {
  const TimePoint now = this->loop.Now();
  for (ClientConnection& connection : this->connections) {
    if (connection.is_closing || connection.is_lingering) {
      continue;
    }
    this->UpdateProgress(connection, now);
    const bool has_timed_out =
        HasTimedOut({.progressed_at = connection.progressed_at,
                     .header_seen_at = connection.header_seen_at,
                     .phase = PhaseOf(connection)},
                    this->timeouts, now);
    if (has_timed_out) {
      this->Close(connection, ClosureReason::kTimeout);
    }
  }
}

// Records what the kernel has received and what the client has acknowledged,
// which the exchange does not notice: parts of a header section, and a response
// that is read from the socket buffer.
void ClientBudget::UpdateProgress(ClientConnection& connection,
                                  TimePoint now) const {
  // Clients that are fast are never seen here, so that only those that are idle
  // for longer cost a call of the kernel.
  const bool may_have_header =
      !connection.exchange && !connection.header_seen_at &&
      now - connection.began_at >= kTimeoutCheckInterval;
  const bool may_be_reading =
      PhaseOf(connection) == ConnectionPhase::kWaitsForClient &&
      now - connection.progressed_at >= kTimeoutCheckInterval;
  if (!may_have_header && !may_be_reading) {
    return;
  }
  const auto counts = GetTransferCounts(connection.socket);
  if (!counts) {
    return;
  }
  if (may_have_header && !connection.received_before) {
    connection.received_before = counts->received_bytes;
  } else if (may_have_header &&
             counts->received_bytes > *connection.received_before) {
    connection.header_seen_at = now;
  }
  if (connection.acknowledged_before &&
      counts->acknowledged_bytes > *connection.acknowledged_before) {
    connection.progressed_at = now;
  }
  connection.acknowledged_before = counts->acknowledged_bytes;
}

void ClientBudget::Close(ClientConnection& connection, ClosureReason reason) {
  connection.is_closing = true;
  ++this->unreported[reason];
  // Discards what waits in the socket's buffers, which the kernel would
  // otherwise keep until a client that does not read has read it. A client that
  // is only idle can still read its last response.
  const bool discards =
      reason != ClosureReason::kTimeout || connection.exchange != nullptr;
  if (discards) {
    DiscardUnsent(connection.socket);
  }
  shutdown(connection.socket, SHUT_RDWR);
  if (connection.exchange) {
    connection.exchange->OnConnectionLost();
  }
}

}  // namespace parsleyquay
