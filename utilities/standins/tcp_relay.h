#ifndef PARSLEYQUAY_UTILITIES_STANDINS_TCP_RELAY_H_
#define PARSLEYQUAY_UTILITIES_STANDINS_TCP_RELAY_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "base/error.h"
#include "event/io_watcher.h"

namespace parsleyquay {

// Relays TCP connections to another address, and lets a test cut or stall them.
class TcpRelay {
 public:
  // Listens at `address` and relays each connection to `target`; both are
  // "ip:port". Fails if it cannot listen at `address`.
  static Result<std::unique_ptr<TcpRelay>> Create(EventLoop& loop,
                                                  const std::string& address,
                                                  const std::string& target);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  // Closes all connections. Until Heal(), closes new ones as soon as they are
  // accepted.
  void Cut();
  void Heal() { this->is_cut = false; }

  // Stops forwarding data on a random share of the connections that are open
  // now, without closing them. Later connections are not affected.
  void StallOpenConnections(double share = 1, std::uint64_t seed = 0);

  // Number of connections accepted so far, including those that Cut() closes.
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
