#ifndef PARSLEYQUAY_LOGGING_EVENT_LOG_H_
#define PARSLEYQUAY_LOGGING_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace parsleyquay {

// One key=value pair of a log line.
struct LogField {
  std::string key;
  std::string value;
};

enum class LogLevel { kInfo, kWarning, kError };

enum class LogTarget {
  kStandardError,   // each line is written immediately
  kStandardOutput,  // buffered until FlushEventLog(), never blocks
};

// Sets up the log of this process. Every line goes to `target` and names
// `origin` as its source.
void InitializeEventLog(std::string_view origin,
                        LogTarget target = LogTarget::kStandardError);

// Writes buffered lines to standard output, as many as its reader accepts
// without blocking.
void FlushEventLog();

// Returns the number of lines that were dropped because the reader of standard
// output was too slow and the buffer was full.
std::uint64_t DroppedLogLines();

// Logs one line with the time, level, origin, event and fields, each as
// key=value. An empty value, or one with blanks, tabs, line feeds, quotes or an
// equals sign, is quoted.
void LogEvent(LogLevel level,
              std::string_view event,
              const std::vector<LogField>& fields = {});

// Logs an error, with its step, peer and detail as fields.
void LogError(std::string_view event, const Error& error);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LOGGING_EVENT_LOG_H_
