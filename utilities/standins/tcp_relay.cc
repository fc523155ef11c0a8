#include "tcp_relay.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <random>
#include <utility>

#include "base/socket_address.h"

namespace parsleyquay {

namespace {

constexpr std::size_t kBufferBytes = 64 * 1024;

const sockaddr* AsSockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace

// An accepted connection, and the connection to the target that it is relayed
// to.
class TcpRelay::Connection {
 public:
  Connection(EventLoop& loop, int client, int server)
      : client(client),
        server(server),
        client_watcher(
            loop,
            [this](int) { this->Forward(this->client, this->server); }),
        server_watcher(loop, [this](int) {
          this->Forward(this->server, this->client);
        }) {
    this->client_watcher.Start(client, EV_READ);
    this->server_watcher.Start(server, EV_READ);
  }
  ~Connection() { this->Close(); }

  void Close() {
    if (this->client >= 0) {
      this->Stall();
      close(this->client);
      close(this->server);
      this->client = -1;
      this->server = -1;
    }
  }
  void Stall() {
    this->client_watcher.Stop();
    this->server_watcher.Stop();
  }
  bool is_closed() const { return this->client < 0; }

 private:
  void Forward(int from, int to) {
    std::array<char, kBufferBytes> buffer;
    const ssize_t size = read(from, buffer.data(), buffer.size());
    if (size <= 0) {
      this->Close();
      return;
    }
    ssize_t sent = 0;
    while (sent < size) {
      const ssize_t written =
          send(to, buffer.data() + sent, static_cast<std::size_t>(size - sent),
               MSG_NOSIGNAL);
      if (written <= 0) {
        this->Close();
        return;
      }
      sent += written;
    }
  }

  int client;
  int server;
  IoWatcher client_watcher;
  IoWatcher server_watcher;
};

TcpRelay::TcpRelay(EventLoop& loop, std::string target)
    : loop(loop),
      target(std::move(target)),
      watcher(loop, [this](int) { this->OnConnect(); }) {}

TcpRelay::~TcpRelay() {
  this->watcher.Stop();
  if (this->listener >= 0) {
    close(this->listener);
  }
}

Result<std::unique_ptr<TcpRelay>> TcpRelay::Create(EventLoop& loop,
                                                   const std::string& address,
                                                   const std::string& target) {
  std::unique_ptr<TcpRelay> relay(new TcpRelay(loop, target));
  BOOST_LEAF_CHECK(relay->Listen(address));
  return relay;
}

Result<void> TcpRelay::Listen(const std::string& address) {
  BOOST_LEAF_AUTO(own, ParseSocketAddress(address));
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(this->listener, AsSockaddr(own), sizeof(own)) != 0 ||
      listen(this->listener, SOMAXCONN) != 0) {
    return Fail(
        {"listen for relayed connections", address, std::strerror(errno)});
  }
  this->watcher.Start(this->listener, EV_READ);
  return {};
}

void TcpRelay::Cut() {
  this->is_cut = true;
  for (const auto& connection : this->connections) {
    connection->Close();
  }
}

void TcpRelay::StallOpenConnections(double share, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::bernoulli_distribution is_chosen(share);
  for (const auto& connection : this->connections) {
    if (is_chosen(random)) {
      connection->Stall();
    }
  }
}

void TcpRelay::OnConnect() {
  const int client = accept(this->listener, nullptr, nullptr);
  if (client < 0) {
    return;
  }
  this->connections.remove_if(
      [](const auto& connection) { return connection->is_closed(); });
  ++this->accept_count;
  const Result<sockaddr_in> address = ParseSocketAddress(this->target);
  const int server = socket(AF_INET, SOCK_STREAM, 0);
  if (this->is_cut || !address ||
      connect(server, AsSockaddr(*address), sizeof(*address)) != 0) {
    close(client);
    close(server);
    return;
  }
  this->connections.push_back(
      std::make_unique<Connection>(this->loop, client, server));
}

}  // namespace parsleyquay
