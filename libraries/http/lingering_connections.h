#ifndef PARSLEYQUAY_HTTP_LINGERING_CONNECTIONS_H_
#define PARSLEYQUAY_HTTP_LINGERING_CONNECTIONS_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "client_limits/client_limits.h"
#include "event/event_loop.h"
#include "event/io_watcher.h"
#include "event/timer.h"

namespace parsleyquay {

class ClientBudget;
struct ClientConnection;

// Connections that the server has closed after their last response, while their
// clients may still read it. Closing the socket at once would reset the
// connection, and drop what the client has not received, if the client has sent
// more: further requests, or the rest of a rejected upload. Each connection is
// therefore only closed for sending (RFC 9112, section 9.6), and what arrives
// is discarded until the client closes it or takes too long.
class LingeringConnections {
 public:
  // `budget` may be null.
  LingeringConnections(EventLoop& loop, ClientBudget* budget);
  // Closes all.
  ~LingeringConnections();
  LingeringConnections(const LingeringConnections&) = delete;
  LingeringConnections& operator=(const LingeringConnections&) = delete;

  // Keeps the connection of `socket` open after the caller has closed `socket`.
  // `client`, which may be null, is removed from the budget at the end. Returns
  // false, and does nothing, if the client has closed the connection, or if no
  // descriptor is left.
  bool Add(int socket, ClientConnection* client);
  std::size_t count() const { return this->connections.size(); }

 private:
  struct Connection {
    ClientConnection* client = nullptr;
    std::optional<std::size_t> unacknowledged_bytes;
    LingeringProgress progress;
    std::unique_ptr<IoWatcher> watcher;
  };

  void OnReadable(int socket);
  void Check();
  void End(int socket);

  EventLoop& loop;
  ClientBudget* budget;
  std::map<int, Connection> connections;  // by socket
  // Of connections that have ended, until their actions have returned.
  std::vector<std::unique_ptr<IoWatcher>> stopped_watchers;
  Timer timer;
};

// Reads and discards what has arrived on the socket, so that closing it does
// not reset the connection. Reads a bounded amount at a time. Returns whether
// the connection has ended.
bool DiscardReceived(int socket);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_LINGERING_CONNECTIONS_H_
