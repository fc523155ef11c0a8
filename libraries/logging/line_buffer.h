#ifndef PARSLEYQUAY_LOGGING_LINE_BUFFER_H_
#define PARSLEYQUAY_LOGGING_LINE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyquay {

// Lines on their way to a descriptor that may not take them now. Holds a
// bounded number of bytes; what does not fit is dropped and counted, so that a
// reader who stalls delays nobody.
class LineBuffer {
 public:
  LineBuffer(int descriptor, std::size_t most_bytes);

  // Keeps a line, without its end, until the next Flush().
  void Append(std::string_view line);

  // Writes as much as the descriptor takes at once, and then a line that says
  // how many lines were dropped.
  void Flush();

  std::uint64_t dropped_lines() const { return this->dropped; }

 private:
  void WriteOut();

  int descriptor;
  std::size_t most_bytes;
  std::string pending;
  std::uint64_t dropped = 0;
  std::uint64_t reported_dropped = 0;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LOGGING_LINE_BUFFER_H_
