#ifndef PARSLEYQUAY_HTTP_DISCONNECT_MONITOR_H_
#define PARSLEYQUAY_HTTP_DISCONNECT_MONITOR_H_

#include <functional>
#include <map>

#include "base/error.h"
#include "event/event_loop.h"
#include "event/io_watcher.h"

namespace parsleyquay {

// Detects that clients have closed their connections, also while received data
// waits to be read. A client that has only shut down its sending direction
// cannot be told from one that has closed its connection.
class DisconnectMonitor {
 public:
  explicit DisconnectMonitor(EventLoop& loop);
  ~DisconnectMonitor();
  DisconnectMonitor(const DisconnectMonitor&) = delete;
  DisconnectMonitor& operator=(const DisconnectMonitor&) = delete;

  // Fails if the process has no descriptor left.
  Result<void> Start();

  // Calls `on_disconnect` once when the client has closed the connection of
  // `socket`, which must be removed before it is closed.
  void Add(int socket, std::function<void()> on_disconnect);
  void Remove(int socket);

  // Treats all connections as closed by their clients.
  void DisconnectAll();

 private:
  void ReportDisconnects();
  void Report(int socket);

  // NOTE: libev offers no event for a closed connection with unread data, so
  // the sockets are in an epoll set of their own, which libev watches.
  int epoll = -1;
  IoWatcher watcher;
  std::map<int, std::function<void()>> handlers;  // by socket
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_DISCONNECT_MONITOR_H_
