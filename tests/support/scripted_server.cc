#include "support/scripted_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include "experiment/port_range.h"

namespace parsleyquay {

namespace {

constexpr char kHeadEnd[] = "\r\n\r\n";
constexpr char kLastChunk[] = "0\r\n\r\n";

int ListenOnPort(int port) {
  const int listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in name = {};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  name.sin_port = htons(static_cast<std::uint16_t>(port));
  // Without this, closed connections keep other processes from listening on the
  // port for a minute.
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool is_listening =
      bind(listener, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) ==
          0 &&
      listen(listener, SOMAXCONN) == 0;
  if (is_listening) {
    return listener;
  }
  close(listener);
  return -1;
}

// Returns the next port of a range reserved for this process. Each port is
// returned only once, so that an instance which is down for a while finds its
// port free when it starts again.
int NextPort() {
  static PortRange range;
  static int used_ports = 0;
  if (used_ports == range.width) {
    range = ReservePortRange();
    used_ports = 0;
    if (range.width == 0) {
      throw std::runtime_error("no free range of ports on loopback");
    }
  }
  return range.base + used_ports++;
}

int ListenOnLoopback(std::string& address) {
  constexpr int kMaxAttempts = 100;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const int port = NextPort();
    const int listener = ListenOnPort(port);
    if (listener >= 0) {
      address = "127.0.0.1:" + std::to_string(port);
      return listener;
    }
  }
  throw std::runtime_error("no free port on loopback");
}

}  // namespace

std::string RawHeader(const std::string& head, const std::string& name) {
  std::size_t begin = head.find("\r\n");
  while (begin != std::string::npos) {
    begin += 2;
    const std::size_t end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (colon == name.size() &&
        strncasecmp(line.data(), name.data(), colon) == 0) {
      return line.substr(line.find_first_not_of(' ', colon + 1));
    }
    begin = end;
  }
  return "";
}

std::string FreeAddress() {
  std::string address;
  close(ListenOnLoopback(address));
  return address;
}

ScriptedServer::ScriptedServer(EventLoop& loop, Script script)
    : loop(loop),
      script(std::move(script)),
      listener(ListenOnLoopback(this->own_address)),
      watcher(loop, [this](int) { this->Accept(); }) {
  this->watcher.Start(this->listener, EV_READ);
}

ScriptedServer::~ScriptedServer() {
  this->watcher.Stop();
  close(this->listener);
  for (auto& [descriptor, connection] : this->open) {
    connection.watcher->Stop();
    connection.writer.reset();
    connection.delayed_response.reset();
    connection.stray_timer.reset();
    close(descriptor);
  }
}

void ScriptedServer::PauseAccepting() {
  this->watcher.Stop();
  listen(this->listener, 1);
}

void ScriptedServer::ResumeAccepting() {
  listen(this->listener, SOMAXCONN);
  this->watcher.Start(this->listener, EV_READ);
}

void ScriptedServer::Accept() {
  const int descriptor =
      accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0) {
    return;
  }
  // Late bytes would otherwise wait until the client sends something.
  const int no_delay = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
  ++this->accepted;
  Connection& connection = this->open[descriptor];
  connection.watcher = std::make_unique<IoWatcher>(
      this->loop, [this, descriptor](int) { this->Read(descriptor); });
  connection.watcher->Start(descriptor, EV_READ);
}

void ScriptedServer::Read(int descriptor) {
  this->stopped_watchers.clear();
  this->stopped_timers.clear();
  std::array<char, 65536> buffer;
  const ssize_t size = recv(descriptor, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    this->End(descriptor, ConnectionAction::kClose);
    return;
  }
  Connection& connection = this->open[descriptor];
  connection.incoming.append(buffer.data(), static_cast<std::size_t>(size));
  while (this->HandleNextRequest(descriptor, connection)) {
  }
}

// Handles the first complete request in the receive buffer. Returns whether the
// buffer may contain another one.
bool ScriptedServer::HandleNextRequest(int descriptor, Connection& connection) {
  const std::size_t head_end = connection.incoming.find(kHeadEnd);
  if (head_end == std::string::npos) {
    return false;
  }
  const std::string head = connection.incoming.substr(0, head_end);
  const std::size_t body_begin = head_end + 4;
  std::size_t body_end = body_begin;
  if (this->is_responding_early && !connection.has_early_response) {
    connection.has_early_response = true;
    return this->Respond(descriptor, {head, ""});
  }
  if (!RawHeader(head, "Transfer-Encoding").empty()) {
    const std::size_t last = connection.incoming.find(kLastChunk, body_begin);
    if (last == std::string::npos) {
      return false;
    }
    body_end = last + 5;
  } else {
    body_end +=
        std::strtoul(RawHeader(head, "Content-Length").c_str(), nullptr, 10);
  }
  if (connection.incoming.size() < body_end) {
    return false;
  }
  const RawRequest request{
      head, connection.incoming.substr(body_begin, body_end - body_begin)};
  connection.incoming.erase(0, body_end);
  return this->Respond(descriptor, request);
}

bool ScriptedServer::Respond(int descriptor, const RawRequest& request) {
  this->received_requests.push_back(request);
  if (!this->SendStrayBytes(descriptor)) {
    return false;
  }
  const RawResponse response = this->script(request);
  if (response.delay <= Duration(0)) {
    return this->SendResponse(descriptor, response);
  }
  Connection& connection = this->open[descriptor];
  connection.delayed_response =
      std::make_unique<Timer>(this->loop, [this, descriptor, response] {
        this->SendResponse(descriptor, response);
      });
  connection.delayed_response->StartOnce(response.delay);
  return false;
}

bool ScriptedServer::SendResponse(int descriptor, const RawResponse& response) {
  Connection& connection = this->open[descriptor];
  const bool sends_at_once = response.stray_delay == Duration(0);
  connection.outgoing +=
      response.bytes + (sends_at_once ? response.stray_bytes : "");
  connection.action_when_sent = response.connection_action;
  if (!sends_at_once && !response.stray_bytes.empty()) {
    connection.stray_bytes = response.stray_bytes;
    connection.stray_timer = std::make_unique<Timer>(
        this->loop, [this, descriptor] { this->SendStrayBytes(descriptor); });
    connection.stray_timer->StartOnce(response.stray_delay);
  }
  if (!response.endless_body.empty()) {
    connection.endless = response.endless_body;
    connection.writer = std::make_unique<IoWatcher>(
        this->loop,
        [this, descriptor](int) { this->ContinueEndlessBody(descriptor); });
    connection.writer->Start(descriptor, EV_WRITE);
  }
  return this->Flush(descriptor) && response.endless_body.empty() &&
         response.connection_action == ConnectionAction::kKeep;
}

bool ScriptedServer::Flush(int descriptor) {
  Connection& connection = this->open[descriptor];
  while (!connection.outgoing.empty()) {
    const ssize_t sent = send(descriptor, connection.outgoing.data(),
                              connection.outgoing.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EAGAIN) {
      if (!connection.writer) {
        connection.writer =
            std::make_unique<IoWatcher>(this->loop, [this, descriptor](int) {
              this->stopped_watchers.clear();
              this->Flush(descriptor);
            });
        connection.writer->Start(descriptor, EV_WRITE);
      }
      return true;
    }
    if (sent < 0) {
      this->End(descriptor, ConnectionAction::kClose);
      return false;
    }
    connection.outgoing.erase(0, static_cast<std::size_t>(sent));
  }
  if (connection.action_when_sent != ConnectionAction::kKeep &&
      connection.endless.empty()) {
    this->End(descriptor, connection.action_when_sent);
    return false;
  }
  if (connection.writer && connection.endless.empty()) {
    connection.writer->Stop();
    this->stopped_watchers.push_back(std::move(connection.writer));
  }
  return true;
}

bool ScriptedServer::SendStrayBytes(int descriptor) {
  Connection& connection = this->open[descriptor];
  connection.outgoing += std::exchange(connection.stray_bytes, {});
  return this->Flush(descriptor);
}

void ScriptedServer::ContinueEndlessBody(int descriptor) {
  this->stopped_watchers.clear();
  Connection& connection = this->open[descriptor];
  const std::string& endless = connection.endless;
  if (!connection.outgoing.empty()) {
    this->Flush(descriptor);
    return;
  }
  const ssize_t sent =
      send(descriptor, endless.data(), endless.size(), MSG_NOSIGNAL);
  if (sent < 0 && errno != EAGAIN) {
    this->End(descriptor, ConnectionAction::kClose);
    return;
  }
  this->endless_sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

void ScriptedServer::End(int descriptor, ConnectionAction action) {
  if (action == ConnectionAction::kReset) {
    const linger no_linger = {1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &no_linger,
               sizeof(no_linger));
  }
  auto node = this->open.extract(descriptor);
  node.mapped().watcher->Stop();
  for (auto& timer :
       {&node.mapped().delayed_response, &node.mapped().stray_timer}) {
    if (*timer) {
      (*timer)->Stop();
      this->stopped_timers.push_back(std::move(*timer));
    }
  }
  // The watcher may be the one whose callback is running, so it is destroyed
  // later.
  this->stopped_watchers.push_back(std::move(node.mapped().watcher));
  if (node.mapped().writer) {
    node.mapped().writer->Stop();
    this->stopped_watchers.push_back(std::move(node.mapped().writer));
  }
  close(descriptor);
}

}  // namespace parsleyquay
