#include "event/event_loop.h"

#include <csignal>

namespace parsleyquay {

// NOTE: not libev's default loop, which reaps all child processes: the code
// that started one could then not read its exit status.
EventLoop::EventLoop() : loop(ev_loop_new(EVFLAG_AUTO)) {
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  ev_loop_destroy(this->loop);
}

void EventLoop::Run() {
  ev_run(this->loop, 0);
}

void EventLoop::Stop() {
  ev_break(this->loop, EVBREAK_ALL);
}

void EventLoop::RunOnce() {
  ev_run(this->loop, EVRUN_ONCE);
}

}  // namespace parsleyquay
