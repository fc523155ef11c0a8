#ifndef PARSLEYQUAY_TESTS_SUPPORT_RAW_CLIENTS_H_
#define PARSLEYQUAY_TESTS_SUPPORT_RAW_CLIENTS_H_

#include <cstddef>
#include <string>
#include <vector>

namespace parsleyquay {

// What each of many clients sends, and how.
struct RawClientScript {
  std::string bytes;
  std::size_t repetitions = 1;             // of `bytes`
  std::size_t bytes_per_step = 64 * 1024;  // sent at most
  std::size_t bytes_read_per_step = 0;
};

// Clients with one connection each, which send bytes and stay open afterwards.
// The destructor closes them.
class RawClients {
 public:
  // `address` is the "ip:port" of a server on loopback.
  RawClients(const std::string& address, int count, RawClientScript script);
  ~RawClients();
  RawClients(const RawClients&) = delete;
  RawClients& operator=(const RawClients&) = delete;

  // Lets each client send and read once without waiting. Returns whether any
  // has made progress.
  bool Step();

 private:
  struct Client {
    int socket = -1;
    std::size_t sent = 0;
  };

  RawClientScript script;
  std::vector<Client> clients;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_RAW_CLIENTS_H_
