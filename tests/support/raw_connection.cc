#include "support/raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <stdexcept>
#include <utility>

namespace parsleyquay {

RawConnection::RawConnection(const std::string& address,
                             int receive_buffer_bytes) {
  const std::size_t colon = address.find(':');
  sockaddr_in peer = {};
  peer.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  peer.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer_bytes > 0) {
    setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof(receive_buffer_bytes));
  }
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
  return this->SendSome(bytes) == bytes.size();
}

std::size_t RawConnection::SendSome(std::string_view bytes) const {
  const ssize_t sent = send(this->socket, bytes.data(), bytes.size(),
                            MSG_NOSIGNAL | MSG_DONTWAIT);
  return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

const std::string& RawConnection::Receive() {
  return this->Receive(std::numeric_limits<std::size_t>::max());
}

const std::string& RawConnection::Receive(std::size_t max_bytes) {
  std::array<char, 16 * 1024> buffer;
  while (!this->has_ended && max_bytes > 0) {
    const ssize_t size = recv(this->socket, buffer.data(),
                              std::min(buffer.size(), max_bytes), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
      break;
    }
    this->has_ended = size <= 0;
    if (size > 0) {
      this->received.append(buffer.data(), static_cast<std::size_t>(size));
      max_bytes -= static_cast<std::size_t>(size);
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

std::optional<std::size_t> CountBodyBytes(const std::string& received,
                                          const std::string& status) {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  const std::size_t head_end = received.find(kHeadEnd);
  if (!received.starts_with("HTTP/1.1 " + status) ||
      head_end == std::string::npos) {
    return std::nullopt;
  }
  return received.size() - head_end - kHeadEnd.size();
}

}  // namespace parsleyquay
