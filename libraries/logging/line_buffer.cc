#include "logging/line_buffer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace parsleyquay {

namespace {

// A pipe that polls as writable accepts at least this much without blocking
// (PIPE_BUF), also if its descriptor is in blocking mode.
constexpr std::size_t kWriteBytes = 4096;

bool IsWritable(int descriptor) {
  pollfd state = {descriptor, POLLOUT, 0};
  return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

}  // namespace

LineBuffer::LineBuffer(int descriptor, std::size_t max_bytes)
    : descriptor(descriptor), max_bytes(max_bytes) {}

void LineBuffer::Append(std::string_view line) {
  if (this->pending.size() + line.size() + 1 > this->max_bytes) {
    ++this->dropped;
    return;
  }
  this->pending += line;
  this->pending += '\n';
}

void LineBuffer::Flush() {
  this->WriteOut();
  if (this->dropped > this->reported_dropped && this->pending.empty()) {
    this->Append("level=warning event=log_lines_dropped lines=" +
                 std::to_string(this->dropped - this->reported_dropped) +
                 " total=" + std::to_string(this->dropped));
    this->reported_dropped = this->dropped;
    this->WriteOut();
  }
}

void LineBuffer::WriteOut() {
  std::size_t written = 0;
  while (written < this->pending.size() && IsWritable(this->descriptor)) {
    const std::size_t size =
        std::min(kWriteBytes, this->pending.size() - written);
    const ssize_t accepted =
        write(this->descriptor, this->pending.data() + written, size);
    if (accepted <= 0) {
      break;
    }
    written += static_cast<std::size_t>(accepted);
  }
  this->pending.erase(0, written);
}

}  // namespace parsleyquay
