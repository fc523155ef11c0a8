#include "logging/event_log.h"

#include <unistd.h>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <iostream>

#include "base/clock.h"
#include "logging/line_buffer.h"

namespace parsleyquay {

namespace {

namespace sinks = boost::log::sinks;
using Sink = sinks::synchronous_sink<sinks::text_ostream_backend>;

// Some seconds of lines at the heaviest load; a reader may pause that long.
constexpr std::size_t kMostHeldBytes = 1024 * 1024;

// Hands the lines to a LineBuffer.
class HeldLines : public sinks::basic_formatted_sink_backend<char> {
 public:
  explicit HeldLines(LineBuffer& buffer) : buffer(buffer) {}

  void consume(const boost::log::record_view&, const std::string& line) {
    this->buffer.Append(line);
  }

 private:
  LineBuffer& buffer;
};

LineBuffer& StandardOutputLines() {
  static LineBuffer buffer(STDOUT_FILENO, kMostHeldBytes);
  return buffer;
}

std::string& Origin() {
  static std::string origin = "-";
  return origin;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

bool NeedsQuotes(const std::string& value) {
  return value.empty() || value.find_first_of(" \"=\n\t") != std::string::npos;
}

// A value with a line end must not look like a second line.
void AppendQuoted(std::string& line, const std::string& value) {
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    line += c == '\n' || c == '\r' ? ' ' : c;
  }
  line += '"';
}

void AppendField(std::string& line, const LogField& field) {
  line += ' ';
  line += field.key;
  line += '=';
  if (NeedsQuotes(field.value)) {
    AppendQuoted(line, field.value);
    return;
  }
  line += field.value;
}

void AddStandardErrorSink() {
  const auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  boost::log::core::get()->add_sink(boost::make_shared<Sink>(backend));
}

void AddStandardOutputSink() {
  const auto backend = boost::make_shared<HeldLines>(StandardOutputLines());
  boost::log::core::get()->add_sink(
      boost::make_shared<sinks::synchronous_sink<HeldLines>>(backend));
}

}  // namespace

void InitializeEventLog(std::string_view origin, LogTarget target) {
  Origin() = origin;
  if (target == LogTarget::kStandardOutput) {
    AddStandardOutputSink();
    return;
  }
  AddStandardErrorSink();
}

void FlushEventLog() {
  StandardOutputLines().Flush();
}

std::uint64_t DroppedLogLines() {
  return StandardOutputLines().dropped_lines();
}

void LogEvent(LogLevel level,
              std::string_view event,
              const std::vector<LogField>& fields) {
  std::string line = "time_ms=" + std::to_string(WallClockMilliseconds());
  line += " level=";
  line += LevelName(level);
  line += " origin=" + Origin() + " event=";
  line += event;
  for (const LogField& field : fields) {
    AppendField(line, field);
  }
  static boost::log::sources::logger logger;
  BOOST_LOG(logger) << line;
}

void LogError(std::string_view event, const Error& error) {
  LogEvent(
      LogLevel::kError, event,
      {{"step", error.step}, {"peer", error.peer}, {"detail", error.detail}});
}

}  // namespace parsleyquay
