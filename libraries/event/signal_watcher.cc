#include "event/signal_watcher.h"

#include <utility>

namespace parsleyquay {

SignalWatcher::SignalWatcher(EventLoop& loop,
                             int signal,
                             std::function<void()> action)
    : loop(loop), action(std::move(action)) {
  ev_signal_init(&this->watcher, &SignalWatcher::OnSignal, signal);
  this->watcher.data = this;
  ev_signal_start(loop.handle(), &this->watcher);
}

SignalWatcher::~SignalWatcher() {
  ev_signal_stop(this->loop.handle(), &this->watcher);
}

void SignalWatcher::OnSignal(struct ev_loop*, ev_signal* watcher, int) {
  static_cast<SignalWatcher*>(watcher->data)->action();
}

}  // namespace parsleyquay
