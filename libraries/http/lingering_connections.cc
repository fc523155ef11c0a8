#include "http/lingering_connections.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "http/client_budget.h"
#include "http/connection_state.h"

namespace parsleyquay {

namespace {

constexpr Duration kCheckInterval = seconds(1);

// Without a budget, or before the first configuration.
constexpr Duration kMaxIdleTime = seconds(120);

constexpr std::size_t kReadBytes = 16 * 1024;
// Other connections get their turn after this many reads.
constexpr int kMaxReads = 16;

}  // namespace

bool DiscardReceived(int socket) {
  std::array<char, kReadBytes> buffer;
  for (int i = 0; i < kMaxReads; ++i) {
    const ssize_t size =
        recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size <= 0) {
      return size == 0 || (errno != EAGAIN && errno != EINTR);
    }
  }
  return false;
}

LingeringConnections::LingeringConnections(EventLoop& loop,
                                           ClientBudget* budget)
    : loop(loop), budget(budget), timer(loop, [this] { this->Check(); }) {}

LingeringConnections::~LingeringConnections() {
  while (!this->connections.empty()) {
    const int socket = this->connections.begin()->first;
    DiscardReceived(socket);
    this->End(socket);
  }
}

bool LingeringConnections::Add(int socket, ClientConnection* client) {
  if (GetUnreadState(socket) == UnreadState::kEnd) {
    return false;
  }
  const int copy = fcntl(socket, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) {
    return false;
  }
  shutdown(copy, SHUT_WR);
  if (client) {
    this->budget->BeginLingering(*client, copy);
  }
  Connection& connection = this->connections[copy];
  connection.client = client;
  connection.unacknowledged_bytes = CountUnacknowledgedBytes(copy);
  connection.progress = {.progressed_at = this->loop.Now(),
                         .received_at = this->loop.Now()};
  connection.watcher = std::make_unique<IoWatcher>(
      this->loop, [this, copy](int) { this->OnReadable(copy); });
  connection.watcher->Start(copy, EV_READ);
  if (this->connections.size() == 1) {
    this->timer.StartRepeating(kCheckInterval);
  }
  return true;
}

void LingeringConnections::OnReadable(int socket) {
  if (DiscardReceived(socket)) {
    this->End(socket);
    return;
  }
  this->connections.at(socket).progress.received_at = this->loop.Now();
}

void LingeringConnections::Check() {
  this->stopped_watchers.clear();
  const TimePoint now = this->loop.Now();
  const LingeringTimeouts timeouts{
      .idle = this->budget
                  ? std::min(this->budget->client_timeouts().idle, kMaxIdleTime)
                  : kMaxIdleTime};
  std::vector<int> timed_out;
  for (auto& [socket, connection] : this->connections) {
    const auto before = std::exchange(connection.unacknowledged_bytes,
                                      CountUnacknowledgedBytes(socket));
    connection.progress = UpdateLingeringProgress(
        connection.progress, before, connection.unacknowledged_bytes, now);
    if (HasLingeredTooLong(connection.progress, timeouts, now)) {
      timed_out.push_back(socket);
    }
  }
  for (const int socket : timed_out) {
    DiscardUnsent(socket);
    this->End(socket);
  }
  if (this->connections.empty()) {
    this->timer.Stop();
  }
}

void LingeringConnections::End(int socket) {
  const auto found = this->connections.find(socket);
  if (found->second.client) {
    this->budget->Remove(*found->second.client);
  }
  found->second.watcher->Stop();
  this->stopped_watchers.push_back(std::move(found->second.watcher));
  this->connections.erase(found);
  close(socket);
}

}  // namespace parsleyquay
