#ifndef PARSLEYQUAY_UTILITIES_STANDINS_TCP_RELAY_H_
#define PARSLEYQUAY_UTILITIES_STANDINS_TCP_RELAY_H_

#include <list>
#include <memory>
#include <string>

#include "base/error.h"
#include "event/io_watcher.h"

namespace parsleyquay {

// Passes TCP connections on to another address, and lets a test disturb them.
class TcpRelay {
 public:
  static Result<std::unique_ptr<TcpRelay>> Create(EventLoop& loop,
                                                  const std::string& address,
                                                  const std::string& target);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  // Closes all connections, and new ones at once until it is healed.
  void Cut();
  void Heal() { this->is_cut = false; }

  // Passes nothing on any more on the connections that are open now, without
  // closing them. New ones work.
  void StallOpenConnections();

  // Connections that have been accepted so far.
  int accepted_connections() const { return this->accept_count; }

 private:
  class Connection;

  TcpRelay(EventLoop& loop, std::string target);
  Result<void> Listen(const std::string& address);
  void OnConnect();

  EventLoop& loop;
  std::string target;
  int listener = -1;
  IoWatcher watcher;
  bool is_cut = false;
  int accept_count = 0;
  std::list<std::unique_ptr<Connection>> connections;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_STANDINS_TCP_RELAY_H_
