#include "logging/line_buffer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>

namespace parsleyquay {
namespace {

constexpr std::size_t kMostBytes = 256 * 1024;

struct Pipe {
  Pipe() {
    REQUIRE(pipe(this->ends.data()) == 0);
    fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(this->ends[0]);
    close(this->ends[1]);
  }
  std::string ReadAll() const {
    std::string text;
    std::array<char, 65536> buffer;
    ssize_t size = 0;
    while ((size = read(this->ends[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
  }
  std::array<int, 2> ends = {};
};

TEST_CASE("a stalled reader does not block and dropped lines are counted") {
  const Pipe pipe;
  LineBuffer lines(pipe.ends[1], kMostBytes);
  const std::string line(1000, 'x');
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < 2'000; ++i) {
    lines.Append(line);
    lines.Flush();
  }
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(2));
  CHECK(lines.dropped_lines() > 0);
  std::string text;
  for (int i = 0; i < 100; ++i) {
    text += pipe.ReadAll();
    lines.Flush();
  }
  text += pipe.ReadAll();
  const auto kept = std::count(text.begin(), text.end(), '\n') - 1;
  CHECK(static_cast<std::uint64_t>(kept) + lines.dropped_lines() == 2'000);
  CHECK(text.find("event=log_lines_dropped lines=" +
                  std::to_string(lines.dropped_lines())) != std::string::npos);
}

TEST_CASE("lines are written completely and in order") {
  const Pipe pipe;
  LineBuffer lines(pipe.ends[1], kMostBytes);
  lines.Append("a=1");
  lines.Append("b=2");
  CHECK(pipe.ReadAll().empty());
  lines.Flush();
  CHECK(pipe.ReadAll() == "a=1\nb=2\n");
}

}  // namespace
}  // namespace parsleyquay
