#include "base/clock.h"

#include <ctime>

namespace parsleyquay {

TimePoint Clock::Now() const {
  if (this->is_paused) {
    return this->paused_at;
  }
  // NOTE: std::chrono::steady_clock does not advance while the machine is
  // suspended.
  timespec now = {};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_boot =
      seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return TimePoint(std::chrono::duration_cast<Duration>(since_boot));
}

void Clock::Pause() {
  this->paused_at = this->Now();
  this->is_paused = true;
}

void Clock::Advance(Duration step) {
  this->paused_at += step;
}

long WallClockMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

long ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace parsleyquay
