#include "support/raw_clients.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace parsleyquay {

namespace {

int Connect(const std::string& address) {
  const std::size_t colon = address.find(':');
  sockaddr_in peer = {};
  peer.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  peer.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  const int result = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  // The connection is completed while the clients step.
  std::ignore =
      connect(result, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer));
  return result;
}

}  // namespace

RawClients::RawClients(const std::string& address,
                       int count,
                       RawClientScript script)
    : script(std::move(script)) {
  for (int i = 0; i < count; ++i) {
    this->clients.push_back({.socket = Connect(address)});
  }
}

RawClients::~RawClients() {
  for (const Client& client : this->clients) {
    close(client.socket);
  }
}

bool RawClients::Step() {
  const std::size_t size = this->script.bytes.size();
  std::string received(this->script.bytes_read_per_step, '\0');
  bool has_progress = false;
  for (Client& client : this->clients) {
    if (client.sent < size * this->script.repetitions) {
      const std::size_t offset = client.sent % size;
      const ssize_t sent =
          send(client.socket, this->script.bytes.data() + offset,
               std::min(this->script.bytes_per_step, size - offset),
               MSG_NOSIGNAL | MSG_DONTWAIT);
      has_progress = has_progress || sent > 0;
      client.sent += static_cast<std::size_t>(std::max<ssize_t>(0, sent));
    }
    if (!received.empty()) {
      has_progress = recv(client.socket, received.data(), received.size(),
                          MSG_DONTWAIT) > 0 ||
                     has_progress;
    }
  }
  return has_progress;
}

}  // namespace parsleyquay
