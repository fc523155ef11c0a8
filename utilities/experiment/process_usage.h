#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_PROCESS_USAGE_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_PROCESS_USAGE_H_

#include <sys/types.h>

namespace parsleyquay {

// CPU time and memory of a process, as /proc/PID/stat reports them.
struct ProcessUsage {
  double cpu_seconds = 0;         // user and system time since its start
  double resident_megabytes = 0;  // resident set size, in units of 2^20 bytes

  bool operator==(const ProcessUsage&) const = default;
};

// Returns zeros if the process does not exist.
ProcessUsage ReadProcessUsage(pid_t process);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_PROCESS_USAGE_H_
