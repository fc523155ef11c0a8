#ifndef PARSLEYQUAY_BASE_CLOCK_H_
#define PARSLEYQUAY_BASE_CLOCK_H_

#include <chrono>

namespace parsleyquay {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

// The monotonic clock of one event loop (CLOCK_BOOTTIME). It advances while the
// machine is suspended, so that leases expire then too. Tests pause and advance
// it. Functions that make decisions receive the time as a parameter.
class Clock {
 public:
  TimePoint Now() const;

  // Stops the clock at its current reading.
  void Pause();

  // Advances a paused clock.
  void Advance(Duration step);

 private:
  bool is_paused = false;
  TimePoint paused_at;
};

// Returns the milliseconds since the Unix epoch, for log lines and records that
// people read. Not used for expiry, since the wall clock may jump.
long WallClockMilliseconds();

// Converts a duration to whole milliseconds, rounding toward zero.
long ToMilliseconds(Duration duration);

double ToSeconds(Duration duration);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_CLOCK_H_
