#ifndef PARSLEYQUAY_LOGGING_EVENT_LOG_H_
#define PARSLEYQUAY_LOGGING_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace parsleyquay {

// One key=value pair of an event line.
struct LogField {
  std::string key;
  std::string value;
};

enum class LogLevel { kInfo, kWarning, kError };

enum class LogTarget {
  kStandardError,   // each line at once
  kStandardOutput,  // held and written by FlushEventLog(), never blocking
};

// Sends every event of this process to `target`, tagged with `origin`.
void InitializeEventLog(std::string_view origin,
                        LogTarget target = LogTarget::kStandardError);

// Writes what is held for standard output, as far as its reader takes it.
void FlushEventLog();

// Lines that were dropped since their reader did not take them.
std::uint64_t DroppedLogLines();

// Writes one line: time, level, origin, event and the fields, each as
// key=value; a value with blanks or quotes is quoted.
void LogEvent(LogLevel level,
              std::string_view event,
              const std::vector<LogField>& fields = {});

// Writes an error with the step and the peer at which it arose.
void LogError(std::string_view event, const Error& error);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LOGGING_EVENT_LOG_H_
