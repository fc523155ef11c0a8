#ifndef PARSLEYQUAY_PEER_PEER_TRANSPORT_H_
#define PARSLEYQUAY_PEER_PEER_TRANSPORT_H_

#include <json/json.h>
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "event/io_watcher.h"
#include "rpc/rpc_codec.h"

namespace parsleyquay {

// Counts the messages of one PeerTransport. Rejected messages are among those
// received. Datagrams that the kernel did not accept count as sent.
struct PeerTrafficCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t rejected_messages = 0;
};

// Sends and receives JSON-RPC notifications between instances, one per UDP
// datagram, each with a message authentication code. Its key is derived from
// the fleet's key. Datagrams may be lost, duplicated or delayed; the protocols
// that use them tolerate that.
class PeerTransport {
 public:
  using Handler = RpcCodec::Handler;

  // Listens on `address`, an "ip:port" pair, and calls `handler` for every
  // authentic notification of one of the `methods`. Fails if the address is
  // malformed or the socket cannot be opened or bound.
  static Result<std::unique_ptr<PeerTransport>> Create(
      EventLoop& loop,
      const std::string& address,
      const std::string& fleet_key,
      const std::vector<std::string>& methods,
      Handler handler);
  ~PeerTransport();

  // Sends one message without blocking. A message that cannot be sent is lost
  // without an error.
  void Send(const std::string& address,
            const std::string& method,
            const Json::Value& parameters);

  // Sends one message to several instances, encoding it only once.
  void SendToAll(const std::vector<std::string>& addresses,
                 const std::string& method,
                 const Json::Value& parameters);

  const PeerTrafficCounters& traffic() const { return this->counters; }

 private:
  PeerTransport(EventLoop& loop,
                const std::string& fleet_key,
                const std::vector<std::string>& methods,
                Handler handler);
  Result<void> Open(const std::string& address);
  void Receive();
  // Authenticates a datagram and passes its notification to the handler.
  // Returns false if it is not authentic or not a valid notification.
  bool HandleDatagram(const std::string& datagram);
  std::string MakeDatagram(const std::string& method,
                           const Json::Value& parameters) const;
  void SendDatagram(const std::string& address, const std::string& datagram);

  std::string authentication_key;
  RpcCodec codec;
  IoWatcher watcher;
  int descriptor = -1;
  PeerTrafficCounters counters;
  std::map<std::string, sockaddr_in> address_cache;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_PEER_PEER_TRANSPORT_H_
