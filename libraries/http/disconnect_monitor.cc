#include "http/disconnect_monitor.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace parsleyquay {

DisconnectMonitor::DisconnectMonitor(EventLoop& loop)
    : watcher(loop, [this](int) { this->ReportDisconnects(); }) {}

DisconnectMonitor::~DisconnectMonitor() {
  this->watcher.Stop();
  if (this->epoll >= 0) {
    close(this->epoll);
  }
}

Result<void> DisconnectMonitor::Start() {
  this->epoll = epoll_create1(EPOLL_CLOEXEC);
  if (this->epoll < 0) {
    return Fail({"watch clients", "epoll", std::strerror(errno)});
  }
  this->watcher.Start(this->epoll, EV_READ);
  return {};
}

void DisconnectMonitor::Add(int socket, std::function<void()> on_disconnect) {
  epoll_event event = {};
  event.events = EPOLLRDHUP;  // a reset is always reported
  event.data.fd = socket;
  epoll_ctl(this->epoll, EPOLL_CTL_ADD, socket, &event);
  this->handlers[socket] = std::move(on_disconnect);
}

void DisconnectMonitor::Remove(int socket) {
  if (this->handlers.erase(socket) > 0) {
    epoll_ctl(this->epoll, EPOLL_CTL_DEL, socket, nullptr);
  }
}

void DisconnectMonitor::DisconnectAll() {
  while (!this->handlers.empty()) {
    this->Report(this->handlers.begin()->first);
  }
}

void DisconnectMonitor::ReportDisconnects() {
  // One event at a time, since a handler may remove any socket.
  epoll_event event = {};
  while (epoll_wait(this->epoll, &event, 1, 0) > 0) {
    this->Report(event.data.fd);
  }
}

void DisconnectMonitor::Report(int socket) {
  const auto found = this->handlers.find(socket);
  if (found == this->handlers.end()) {
    return;
  }
  const std::function<void()> on_disconnect = std::move(found->second);
  this->Remove(socket);
  on_disconnect();
}

}  // namespace parsleyquay
