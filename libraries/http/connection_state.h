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

// Returns how many bytes the kernel has received on the connection, whether or
// not they have been read; an end of the stream counts as one. Returns
// std::nullopt if the system does not tell.
std::optional<std::uint64_t> CountReceivedBytes(int socket);

// Sets the memory of the socket's receive buffer, and of its send buffer, which
// otherwise grow with the throughput. Accepted connections inherit the sizes.
void LimitSocketBuffers(int socket, std::size_t bytes);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_CONNECTION_STATE_H_
