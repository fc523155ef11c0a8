#ifndef PARSLEYQUAY_REVIEW_WIRE_H_
#define PARSLEYQUAY_REVIEW_WIRE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// A request or a response. The names of the headers are in lower case.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
  bool is_complete = false;  // the body ended where its framing says

  std::string Header(const std::string& name) const;
  int Status() const;  // of a response; 0 if there is none
};

// Returns a loopback address, "127.0.0.1:PORT", on which nothing listens.
std::string FreeAddress();

// A blocking TCP connection.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns null if nothing accepts the connection.
  static std::unique_ptr<Connection> Open(const std::string& address);

  bool Send(const std::string& bytes);

  // Reads a request line or status line, and the headers. Returns std::nullopt
  // if the connection ends before them.
  std::optional<Message> ReadHead();

  // Reads the body that the headers announce. Sets `is_complete`.
  void ReadBody(Message& message);

  // Reads a whole message. Its `is_complete` is false if the connection ends
  // within it, and its first line is empty if there is no head at all.
  Message ReadMessage();

  // Waits until the peer closes the connection, for `duration` at most. Returns
  // whether it has closed it.
  bool WaitForClose(milliseconds duration);

  // Reads that wait for longer than this fail.
  void SetReadTimeout(milliseconds timeout);

  void ShutDown();

 private:
  bool ReadMore();
  bool ReadLine(std::string& line);
  bool ReadBytes(std::size_t size, std::string& bytes);

  int descriptor;
  std::string buffer;
};

// Sends one request on a connection of its own, and reads the response.
Message Fetch(const std::string& address,
              const std::string& request,
              milliseconds timeout = milliseconds(8'000));

// Answers a liveness check as a sound target does. Returns false, and does
// nothing, if `request` is another request.
bool AnswerLivenessCheck(Connection& connection,
                         const Message& request,
                         const std::string& target_id);

// A TCP server on loopback with one thread a connection.
class TcpServer {
 public:
  using Handler = std::function<void(Connection&)>;

  // `has_small_window` gives its connections the small windows of a real link,
  // so that a peer is blocked soon while the server does not read.
  TcpServer(Handler handler, bool has_small_window = false);
  ~TcpServer();
  TcpServer(const TcpServer&) = delete;
  TcpServer& operator=(const TcpServer&) = delete;

  const std::string& address() const { return this->own_address; }

 private:
  void Accept();

  Handler handler;
  std::string own_address;
  int listener = -1;
  std::mutex mutex;
  bool is_stopping = false;
  std::set<Connection*> connections;
  std::set<std::unique_ptr<std::thread>> threads;
  std::thread accept_thread;
};

}  // namespace review

#endif  // PARSLEYQUAY_REVIEW_WIRE_H_
