#ifndef PARSLEYQUAY_UTILITIES_EXPERIMENT_PROCESS_USAGE_H_
#define PARSLEYQUAY_UTILITIES_EXPERIMENT_PROCESS_USAGE_H_

#include <sys/types.h>

namespace parsleyquay {

// What a process has used, by the kernel's counts.
struct ProcessUsage {
  double cpu_seconds = 0;
  double resident_megabytes = 0;  // resident

  bool operator==(const ProcessUsage&) const = default;
};

ProcessUsage ReadProcessUsage(pid_t process);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_UTILITIES_EXPERIMENT_PROCESS_USAGE_H_
