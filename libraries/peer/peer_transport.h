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

struct PeerTrafficCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t rejected_messages = 0;
};

// Exchanges JSON-RPC notifications with other instances, one to a UDP
// datagram, each with a message authentication code of the fleet's key.
// Datagrams may be lost, repeated or late; every exchange allows for that.
class PeerTransport {
 public:
  using Handler = RpcCodec::Handler;

  static Result<std::unique_ptr<PeerTransport>> Create(
      EventLoop& loop,
      const std::string& address,
      const std::string& fleet_key,
      const std::vector<std::string>& methods,
      Handler handler);
  ~PeerTransport();

  // Sends one message; a message that cannot leave counts as lost.
  void Send(const std::string& address,
            const std::string& method,
            const Json::Value& parameters);

  // Sends one message to several instances; it is encoded once.
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
  bool Accept(const std::string& datagram);
  std::string MakeDatagram(const std::string& method,
                           const Json::Value& parameters) const;
  void SendDatagram(const std::string& address, const std::string& datagram);

  std::string authentication_key;
  RpcCodec codec;
  IoWatcher watcher;
  int descriptor = -1;
  PeerTrafficCounters counters;
  std::map<std::string, sockaddr_in> parsed_addresses;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_PEER_PEER_TRANSPORT_H_
