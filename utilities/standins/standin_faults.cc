// A fault proxy for the datagrams between entry instances and for their TCP
// connections to the platform.
//
// Instance K of --count listens for datagrams at port --first_real_port + K,
// and advertises port --first_peer_port + K, where this proxy listens. The
// proxy recognizes the sender by its source port, and forwards, delays or drops
// each datagram according to the faults of the link from sender to receiver. It
// relays TCP connections to port --first_log_port + K, which instance K uses,
// to --platform.
//
//   POST /control?KEY=VALUE on --control sets faults:
//     cut=A:B          drops datagrams from instance A to B; "*" means all
//     heal=A:B         ends cut=A:B
//     log_cut=K        closes the connections of instance K to the platform,
//     and
//                      new ones until log_heal=K
//     log_heal=K       ends log_cut=K
//     delay_ms=D       one-way delay of all datagrams
//     loss_percent=P   drops P in 100 datagrams at random

#include <gflags/gflags.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <iostream>
#include <list>
#include <random>
#include <set>

#include "base/socket_address.h"
#include "event/io_watcher.h"
#include "event/timer.h"
#include "http/request_target.h"
#include "standin_server.h"
#include "tcp_relay.h"

DEFINE_string(host, "127.0.0.1", "IP address to listen on");
DEFINE_string(control, "127.0.0.1:7990", "ip:port of the control server");
DEFINE_int32(count, 3, "number of instances");
DEFINE_int32(first_peer_port, 7500, "first advertised peer port");
DEFINE_int32(first_real_port,
             7400,
             "first port at which an instance listens for datagrams");
DEFINE_int32(first_log_port,
             7600,
             "first port that is relayed to the platform");
DEFINE_string(platform, "127.0.0.1:7100", "ip:port of the platform");
DEFINE_double(delay_ms, 0, "one-way delay of datagrams, in ms");
DEFINE_int32(seed, 1, "seed of the random losses");

namespace parsleyquay {
namespace {

constexpr std::size_t kBufferBytes = 64 * 1024;

int ToInt(const std::string& text) {
  int number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

sockaddr_in LocalAddress(int port) {
  sockaddr_in address = {};
  RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(address, ParseSocketAddress(FLAGS_host + ":" +
                                                      std::to_string(port)));
        return {};
      },
      [](const Error& error) { std::cerr << ToString(error) << '\n'; });
  return address;
}

const sockaddr* AsSockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

class FaultProxy {
 public:
  explicit FaultProxy(EventLoop& loop)
      : loop(loop),
        random(static_cast<unsigned>(FLAGS_seed)),
        delay_timer(loop, [this] { this->DeliverDue(); }),
        delay(Milliseconds(FLAGS_delay_ms)) {}

  bool Start() {
    for (int i = 0; i < FLAGS_count; ++i) {
      if (!this->OpenPeerPort(i) || !this->OpenPlatformPort(i)) {
        std::cerr << "cannot listen for instance " << i << '\n';
        return false;
      }
    }
    return true;
  }

  void Control(const std::shared_ptr<ServerExchange>& exchange) {
    const std::string& target = exchange->target();
    if (const auto cut = QueryValue(target, "cut"); !cut.empty()) {
      this->SetLinksCut(cut, true);
    }
    if (const auto heal = QueryValue(target, "heal"); !heal.empty()) {
      this->SetLinksCut(heal, false);
    }
    if (const auto cut = QueryValue(target, "log_cut"); !cut.empty()) {
      this->RelayOf(cut).Cut();
    }
    if (const auto heal = QueryValue(target, "log_heal"); !heal.empty()) {
      this->RelayOf(heal).Heal();
    }
    if (const auto text = QueryValue(target, "delay_ms"); !text.empty()) {
      this->delay = Milliseconds(std::stod(text));
    }
    if (const auto text = QueryValue(target, "loss_percent"); !text.empty()) {
      this->loss_percent = std::stod(text);
    }
    exchange->Respond(200, {}, "{}");
  }

 private:
  struct DelayedDatagram {
    TimePoint due;
    int receiver = 0;
    std::string datagram;
  };

  static Duration Milliseconds(double ms) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ms));
  }

  void SetLinksCut(const std::string& link, bool is_cut) {
    const auto colon = link.find(':');
    const std::string from = link.substr(0, colon);
    const std::string to = link.substr(colon + 1);
    for (int a = 0; a < FLAGS_count; ++a) {
      for (int b = 0; b < FLAGS_count; ++b) {
        const bool is_selected = (from == "*" || ToInt(from) == a) &&
                                 (to == "*" || ToInt(to) == b) && a != b;
        if (is_selected && is_cut) {
          this->cuts.insert({a, b});
        } else if (is_selected) {
          this->cuts.erase({a, b});
        }
      }
    }
  }

  bool OpenPeerPort(int index) {
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    const sockaddr_in address = LocalAddress(FLAGS_first_peer_port + index);
    if (bind(descriptor, AsSockaddr(address), sizeof(address)) != 0) {
      return false;
    }
    this->peer_sockets.push_back(descriptor);
    auto watcher = std::make_unique<IoWatcher>(
        this->loop, [this, index](int) { this->OnDatagram(index); });
    watcher->Start(descriptor, EV_READ);
    this->watchers.push_back(std::move(watcher));
    return true;
  }

  bool OpenPlatformPort(int index) {
    const std::string address =
        FLAGS_host + ":" + std::to_string(FLAGS_first_log_port + index);
    return RunOrReport(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(
              relay, TcpRelay::Create(this->loop, address, FLAGS_platform));
          this->relays.push_back(std::move(relay));
          return {};
        },
        [](const Error& error) { std::cerr << ToString(error) << '\n'; });
  }

  TcpRelay& RelayOf(const std::string& instance) {
    return *this->relays.at(static_cast<std::size_t>(ToInt(instance)));
  }

  void OnDatagram(int receiver) {
    std::array<char, kBufferBytes> buffer;
    sockaddr_in from = {};
    socklen_t length = sizeof(from);
    const ssize_t size = recvfrom(
        this->peer_sockets[static_cast<std::size_t>(receiver)], buffer.data(),
        buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &length);
    if (size < 0) {
      return;
    }
    const int sender = ntohs(from.sin_port) - FLAGS_first_real_port;
    const double draw =
        std::uniform_real_distribution<double>(0, 100)(this->random);
    if (this->cuts.contains({sender, receiver}) || draw < this->loss_percent) {
      return;
    }
    DelayedDatagram delayed{this->loop.Now() + this->delay,
                            receiver,
                            {buffer.data(), static_cast<std::size_t>(size)}};
    if (this->delay == Duration(0)) {
      this->Deliver(delayed);
      return;
    }
    this->delayed.push_back(std::move(delayed));
    if (this->delayed.size() == 1) {
      this->delay_timer.StartOnce(this->delay);
    }
  }

  void Deliver(const DelayedDatagram& delayed) {
    const sockaddr_in to =
        LocalAddress(FLAGS_first_real_port + delayed.receiver);
    sendto(this->peer_sockets.front(), delayed.datagram.data(),
           delayed.datagram.size(), MSG_DONTWAIT, AsSockaddr(to), sizeof(to));
  }

  void DeliverDue() {
    const TimePoint now = this->loop.Now();
    while (!this->delayed.empty() && this->delayed.front().due <= now) {
      this->Deliver(this->delayed.front());
      this->delayed.pop_front();
    }
    if (!this->delayed.empty()) {
      this->delay_timer.StartOnce(this->delayed.front().due - now);
    }
  }

  EventLoop& loop;
  std::mt19937_64 random;
  Timer delay_timer;
  Duration delay;
  double loss_percent = 0;
  std::vector<int> peer_sockets;
  std::vector<std::unique_ptr<IoWatcher>> watchers;
  std::set<std::pair<int, int>> cuts;
  std::list<DelayedDatagram> delayed;
  std::vector<std::unique_ptr<TcpRelay>> relays;  // by instance
};

int Run() {
  EventLoop loop;
  FaultProxy proxy(loop);
  if (!proxy.Start()) {
    return 1;
  }
  return ServeUntilTerminated(
      loop, {FLAGS_control},
      [&](std::size_t, const std::shared_ptr<ServerExchange>& exchange) {
        proxy.Control(exchange);
      });
}

}  // namespace
}  // namespace parsleyquay

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return parsleyquay::Run();
}
