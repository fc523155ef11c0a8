#include "http/connection_state.h"

// NOTE: the tcp_info of <netinet/tcp.h> lacks the count of received bytes.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstddef>

namespace parsleyquay {

UnreadState GetUnreadState(int socket) {
  char byte = 0;
  const ssize_t size =
      recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) {
    return UnreadState::kBytes;
  }
  const bool is_quiet = size < 0 && (errno == EAGAIN || errno == EINTR);
  return is_quiet ? UnreadState::kNothing : UnreadState::kEnd;
}

std::optional<TransferCounts> GetTransferCounts(int socket) {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  static_assert(offsetof(tcp_info, tcpi_bytes_acked) <
                offsetof(tcp_info, tcpi_bytes_received));
  constexpr std::size_t kNeeded = offsetof(tcp_info, tcpi_bytes_received) +
                                  sizeof(info.tcpi_bytes_received);
  const bool is_known =
      getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
      size >= kNeeded;
  return is_known ? std::optional<TransferCounts>(
                        {.received_bytes = info.tcpi_bytes_received,
                         .acknowledged_bytes = info.tcpi_bytes_acked})
                  : std::nullopt;
}

std::optional<std::uint64_t> CountReceivedBytes(int socket) {
  const auto counts = GetTransferCounts(socket);
  return counts ? std::optional(counts->received_bytes) : std::nullopt;
}

std::optional<std::size_t> CountUnacknowledgedBytes(int socket) {
  int bytes = 0;
  const bool is_known = ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes >= 0;
  return is_known ? std::optional(static_cast<std::size_t>(bytes))
                  : std::nullopt;
}

void DiscardUnsent(int socket) {
  const linger discard = {.l_onoff = 1, .l_linger = 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
}

void LimitSocketBuffers(int socket, std::size_t bytes) {
  // The kernel doubles the value, since it counts its own overhead too.
  const int size = static_cast<int>(bytes / 2);
  setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
}

}  // namespace parsleyquay
