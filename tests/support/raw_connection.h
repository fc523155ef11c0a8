#ifndef PARSLEYQUAY_TESTS_SUPPORT_RAW_CONNECTION_H_
#define PARSLEYQUAY_TESTS_SUPPORT_RAW_CONNECTION_H_

#include <string>
#include <string_view>

namespace parsleyquay {

// A connection to a server on loopback, on which a test sends and receives any
// bytes. Only connecting waits.
class RawConnection {
 public:
  // Throws std::runtime_error if it cannot connect to `address`, an "ip:port"
  // pair.
  explicit RawConnection(const std::string& address);
  ~RawConnection();
  RawConnection(RawConnection&& other) noexcept;
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // Returns whether all bytes were accepted by the socket.
  bool Send(std::string_view bytes) const;
  // Returns all that has been received so far.
  const std::string& Receive();
  // Returns whether the server has closed the connection.
  bool HasEnded();
  void Close();

 private:
  int socket = -1;
  std::string received;
  bool has_ended = false;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_RAW_CONNECTION_H_
