#ifndef PARSLEYQUAY_HTTP_CONNECTION_STATE_H_
#define PARSLEYQUAY_HTTP_CONNECTION_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

namespace parsleyquay {

// What waits to be read from a TCP connection.
enum class UnreadState {
  kNothing,
  kBytes,
  kEnd,  // the peer has closed or reset the connection
};

// Looks at the connection without reading from it.
UnreadState GetUnreadState(int socket);

// What the kernel has transferred on a connection so far.
struct TransferCounts {
  // Whether or not they have been read; an end of the stream counts as one.
  std::uint64_t received_bytes = 0;
  std::uint64_t acknowledged_bytes = 0;  // by the peer

  bool operator==(const TransferCounts&) const = default;
};

// Returns std::nullopt if the system does not tell.
std::optional<TransferCounts> GetTransferCounts(int socket);

// Returns the received bytes as above, or std::nullopt.
std::optional<std::uint64_t> CountReceivedBytes(int socket);

// Returns how many bytes the peer has not acknowledged, among them those that
// have not been sent; an end of the stream counts as one. Returns std::nullopt
// if the system does not tell.
std::optional<std::size_t> CountUnacknowledgedBytes(int socket);

// Makes the next close of the socket reset the connection and drop what has not
// been sent, which the kernel would otherwise keep until the peer reads it.
void DiscardUnsent(int socket);

// Sets the memory of the socket's receive buffer, and of its send buffer, which
// otherwise grow with the throughput. Accepted connections inherit the sizes.
void LimitSocketBuffers(int socket, std::size_t bytes);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_CONNECTION_STATE_H_
