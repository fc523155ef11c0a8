#include "support/raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace parsleyquay {

RawConnection::RawConnection(const std::string& address) {
  const std::size_t colon = address.find(':');
  sockaddr_in peer = {};
  peer.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  peer.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(this->socket, reinterpret_cast<const sockaddr*>(&peer),
              sizeof(peer)) != 0) {
    this->Close();
    throw std::runtime_error("cannot connect to " + address);
  }
}

RawConnection::~RawConnection() {
  this->Close();
}

RawConnection::RawConnection(RawConnection&& other) noexcept
    : socket(std::exchange(other.socket, -1)),
      received(std::move(other.received)),
      has_ended(other.has_ended) {}

bool RawConnection::Send(std::string_view bytes) const {
  return send(this->socket, bytes.data(), bytes.size(),
              MSG_NOSIGNAL | MSG_DONTWAIT) ==
         static_cast<ssize_t>(bytes.size());
}

const std::string& RawConnection::Receive() {
  std::array<char, 16 * 1024> buffer;
  while (!this->has_ended) {
    const ssize_t size =
        recv(this->socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
      break;
    }
    this->has_ended = size <= 0;
    if (size > 0) {
      this->received.append(buffer.data(), static_cast<std::size_t>(size));
    }
  }
  return this->received;
}

bool RawConnection::HasEnded() {
  this->Receive();
  return this->has_ended;
}

void RawConnection::Close() {
  if (this->socket >= 0) {
    close(std::exchange(this->socket, -1));
  }
}

}  // namespace parsleyquay
