#include "event/io_watcher.h"

#include <utility>

namespace parsleyquay {

IoWatcher::IoWatcher(EventLoop& loop, std::function<void(int)> action)
    : loop(loop), action(std::move(action)) {
  ev_init(&this->watcher, &IoWatcher::OnReady);
  this->watcher.data = this;
}

IoWatcher::~IoWatcher() {
  this->Stop();
}

void IoWatcher::Start(int descriptor, int events) {
  this->Stop();
  ev_io_set(&this->watcher, descriptor, events);
  ev_io_start(this->loop.handle(), &this->watcher);
}

void IoWatcher::Stop() {
  ev_io_stop(this->loop.handle(), &this->watcher);
}

void IoWatcher::OnReady(struct ev_loop*, ev_io* watcher, int events) {
  static_cast<IoWatcher*>(watcher->data)->action(events);
}

}  // namespace parsleyquay
