#ifndef PARSLEYQUAY_BASE_CLOCK_H_
#define PARSLEYQUAY_BASE_CLOCK_H_

#include <chrono>

namespace parsleyquay {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

// The monotonic clock of one runtime. It also counts the time in which the
// machine was suspended, so that no right outlives its bound over a pause.
// Tests pause it and advance it by hand; every decision receives its readings
// as plain values.
class Clock {
 public:
  TimePoint Now() const;

  // Freezes the clock at its present reading.
  void Pause();

  // Moves a paused clock forward.
  void Advance(Duration step);

 private:
  bool is_paused = false;
  TimePoint paused_at;
};

// Milliseconds since the Unix epoch, for log lines and records that people
// read. Never used to decide how long a right lives.
long WallClockMilliseconds();

// Whole milliseconds of a duration, rounded down.
long ToMilliseconds(Duration duration);

double ToSeconds(Duration duration);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_CLOCK_H_
