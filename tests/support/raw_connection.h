#ifndef PARSLEYQUAY_TESTS_SUPPORT_RAW_CONNECTION_H_
#define PARSLEYQUAY_TESTS_SUPPORT_RAW_CONNECTION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyquay {

// A connection to a server on loopback, on which a test sends and receives any
// bytes. Only connecting waits.
class RawConnection {
 public:
  // Throws std::runtime_error if it cannot connect to `address`, an "ip:port"
  // pair. A receive buffer of the given size, if not 0, makes the server wait
  // until the test has received.
  explicit RawConnection(const std::string& address,
                         int receive_buffer_bytes = 0);
  ~RawConnection();
  RawConnection(RawConnection&& other) noexcept;
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // Returns whether all bytes were accepted by the socket.
  bool Send(std::string_view bytes) const;
  // Returns how many of the bytes were accepted by the socket.
  std::size_t SendSome(std::string_view bytes) const;
  // Returns all that has been received so far.
  const std::string& Receive();
  // Receives at most that many bytes. Returns all that has been received so
  // far.
  const std::string& Receive(std::size_t max_bytes);
  // Returns whether all that was received and read so far ended with the end of
  // the connection.
  bool has_read_end() const { return this->has_ended; }
  // Returns whether the server has closed the connection.
  bool HasEnded();
  void Close();

 private:
  int socket = -1;
  std::string received;
  bool has_ended = false;
};

// Returns how many bytes follow the headers of the first response, or
// std::nullopt if its headers are incomplete or its status is another one.
std::optional<std::size_t> CountBodyBytes(const std::string& received,
                                          const std::string& status);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_RAW_CONNECTION_H_
