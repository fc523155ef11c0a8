#include "wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <stdexcept>

namespace review {

namespace {

constexpr std::size_t kReadBytes = 64 * 1024;

// The segment size of an Ethernet link. Loopback's is 64 KB, which lets the
// kernel buffer megabytes for a peer that does not read.
constexpr int kLinkSegmentBytes = 1460;
constexpr int kSmallWindowBytes = 16 * 1024;

sockaddr_in ToSocketAddress(const std::string& address) {
  const auto colon = address.find(':');
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  result.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

std::string BoundAddress(int descriptor) {
  sockaddr_in bound = {};
  socklen_t size = sizeof(bound);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
  return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

int BindToLoopback() {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in any_port = ToSocketAddress("127.0.0.1:0");
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&any_port),
           sizeof(any_port)) != 0) {
    throw std::runtime_error("cannot bind a loopback address");
  }
  return descriptor;
}

std::string ToLower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char letter) {
    return static_cast<char>(std::tolower(letter));
  });
  return text;
}

}  // namespace

std::string Message::Header(const std::string& name) const {
  const auto found = this->headers.find(name);
  return found == this->headers.end() ? "" : found->second;
}

int Message::Status() const {
  const auto space = this->first_line.find(' ');
  return this->first_line.starts_with("HTTP/") && space != std::string::npos
             ? std::stoi(this->first_line.substr(space + 1))
             : 0;
}

std::string FreeAddress() {
  const int descriptor = BindToLoopback();
  std::string address = BoundAddress(descriptor);
  close(descriptor);
  return address;
}

Connection::~Connection() {
  close(this->descriptor);
}

std::unique_ptr<Connection> Connection::Open(const std::string& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(descriptor);
  const sockaddr_in target = ToSocketAddress(address);
  const bool is_connected =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) == 0;
  return is_connected ? std::move(connection) : nullptr;
}

bool Connection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = send(this->descriptor, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool Connection::ReadMore() {
  std::array<char, kReadBytes> bytes;
  const ssize_t size = recv(this->descriptor, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    return false;
  }
  this->buffer.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

bool Connection::ReadLine(std::string& line) {
  auto end = this->buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!this->ReadMore()) {
      return false;
    }
    end = this->buffer.find("\r\n");
  }
  line = this->buffer.substr(0, end);
  this->buffer.erase(0, end + 2);
  return true;
}

bool Connection::ReadBytes(std::size_t size, std::string& bytes) {
  bool has_all = true;
  while (this->buffer.size() < size && has_all) {
    has_all = this->ReadMore();
  }
  const std::size_t taken = std::min(size, this->buffer.size());
  bytes += this->buffer.substr(0, taken);
  this->buffer.erase(0, taken);
  return has_all;
}

std::optional<Message> Connection::ReadHead() {
  Message message;
  if (!this->ReadLine(message.first_line)) {
    return std::nullopt;
  }
  for (std::string line; this->ReadLine(line);) {
    if (line.empty()) {
      return message;
    }
    const auto colon = line.find(':');
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.headers[ToLower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  return std::nullopt;
}

void Connection::ReadBody(Message& message) {
  if (ToLower(message.Header("transfer-encoding")) != "chunked") {
    const std::string length = message.Header("content-length");
    message.is_complete =
        this->ReadBytes(length.empty() ? 0 : std::stoull(length), message.body);
    return;
  }
  for (std::string line; this->ReadLine(line);) {
    const std::size_t size = std::stoull(line, nullptr, 16);
    std::string line_end;
    if (!this->ReadBytes(size, message.body) || !this->ReadBytes(2, line_end)) {
      return;
    }
    if (size == 0) {
      message.is_complete = true;
      return;
    }
  }
}

Message Connection::ReadMessage() {
  auto message = this->ReadHead();
  if (!message) {
    return {};
  }
  this->ReadBody(*message);
  return *message;
}

bool Connection::WaitForClose(milliseconds duration) {
  pollfd readable = {this->descriptor, POLLIN, 0};
  const auto until = Clock::now() + duration;
  while (Clock::now() < until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now());
    if (poll(&readable, 1, static_cast<int>(left.count()) + 1) > 0 &&
        !this->ReadMore()) {
      return true;
    }
  }
  return false;
}

void Connection::SetReadTimeout(milliseconds timeout) {
  const auto whole_seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout);
  const timeval value = {
      whole_seconds.count(),
      std::chrono::microseconds(timeout - whole_seconds).count()};
  setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
}

void Connection::ShutDown() {
  shutdown(this->descriptor, SHUT_RDWR);
}

Message Fetch(const std::string& address,
              const std::string& request,
              milliseconds timeout) {
  const auto connection = Connection::Open(address);
  if (!connection) {
    return {};
  }
  connection->SetReadTimeout(timeout);
  connection->Send(request);
  return connection->ReadMessage();
}

bool AnswerLivenessCheck(Connection& connection,
                         const Message& request,
                         const std::string& target_id) {
  if (!request.first_line.starts_with("GET /health ")) {
    return false;
  }
  connection.Send("HTTP/1.1 200 OK\r\nInstance-Id: " + target_id +
                  "\r\nServer-Load: 0,0,3\r\nContent-Length: 0\r\n\r\n");
  return true;
}

TcpServer::TcpServer(Handler handler, bool has_small_window)
    : handler(std::move(handler)), listener(BindToLoopback()) {
  if (has_small_window) {
    setsockopt(this->listener, IPPROTO_TCP, TCP_MAXSEG, &kLinkSegmentBytes,
               sizeof(kLinkSegmentBytes));
    setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &kSmallWindowBytes,
               sizeof(kSmallWindowBytes));
  }
  listen(this->listener, SOMAXCONN);
  this->own_address = BoundAddress(this->listener);
  this->accept_thread = std::thread([this] { this->Accept(); });
}

TcpServer::~TcpServer() {
  {
    const std::scoped_lock lock(this->mutex);
    this->is_stopping = true;
    for (Connection* connection : this->connections) {
      connection->ShutDown();
    }
  }
  shutdown(this->listener, SHUT_RDWR);
  this->accept_thread.join();
  for (const auto& thread : this->threads) {
    thread->join();
  }
  close(this->listener);
}

void TcpServer::Accept() {
  while (true) {
    const int descriptor =
        accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    const std::scoped_lock lock(this->mutex);
    if (descriptor < 0 || this->is_stopping) {
      return;
    }
    auto* connection = new Connection(descriptor);
    this->connections.insert(connection);
    this->threads.insert(std::make_unique<std::thread>([this, connection] {
      this->handler(*connection);
      const std::scoped_lock end_lock(this->mutex);
      this->connections.erase(connection);
      delete connection;
    }));
  }
}

}  // namespace review
