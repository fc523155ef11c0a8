#ifndef PARSLEYQUAY_LOGGING_LINE_BUFFER_H_
#define PARSLEYQUAY_LOGGING_LINE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyquay {

// Buffers lines for a file descriptor that may not be writable. Holds at most
// `max_bytes`; further lines are dropped and counted, so that a stalled reader
// never blocks the process.
class LineBuffer {
 public:
  LineBuffer(int descriptor, std::size_t max_bytes);

  // Adds a line, passed without its line feed, to be written by Flush().
  void Append(std::string_view line);

  // Writes as much as the descriptor accepts without blocking. Once everything
  // is written, adds a line with the number of lines that were dropped since
  // the last such line, if there were any.
  void Flush();

  // The number of lines that were dropped since construction.
  std::uint64_t dropped_lines() const { return this->dropped; }

 private:
  void WriteOut();

  int descriptor;
  std::size_t max_bytes;
  std::string pending;
  std::uint64_t dropped = 0;
  std::uint64_t reported_dropped = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LOGGING_LINE_BUFFER_H_
