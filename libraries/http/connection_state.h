#ifndef PARSLEYQUAY_HTTP_CONNECTION_STATE_H_
#define PARSLEYQUAY_HTTP_CONNECTION_STATE_H_

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

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_CONNECTION_STATE_H_
