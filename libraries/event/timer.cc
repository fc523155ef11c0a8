#include "event/timer.h"

#include <utility>

namespace parsleyquay {

Timer::Timer(EventLoop& loop, std::function<void()> action)
    : loop(loop), action(std::move(action)) {
  ev_init(&this->watcher, &Timer::OnTimeout);
  this->watcher.data = this;
}

Timer::~Timer() {
  this->Stop();
}

void Timer::StartOnce(Duration delay) {
  this->Stop();
  ev_timer_set(&this->watcher, ToSeconds(delay), 0.);
  ev_now_update(this->loop.handle());
  ev_timer_start(this->loop.handle(), &this->watcher);
}

void Timer::StartRepeating(Duration interval) {
  this->Stop();
  ev_timer_set(&this->watcher, ToSeconds(interval), ToSeconds(interval));
  ev_timer_start(this->loop.handle(), &this->watcher);
}

void Timer::Stop() {
  ev_timer_stop(this->loop.handle(), &this->watcher);
}

void Timer::OnTimeout(struct ev_loop*, ev_timer* watcher, int) {
  // NOTE: the action may destroy the timer, so a copy of the action is called.
  const auto action = static_cast<Timer*>(watcher->data)->action;
  action();
}

}  // namespace parsleyquay
