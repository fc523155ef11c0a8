#include "experiment/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace parsleyquay {

namespace {

// Places in /proc/PID/stat after the command's name (proc(5)).
constexpr int kUserTimePlace = 11;
constexpr int kSystemTimePlace = 12;
constexpr int kResidentPlace = 21;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

}  // namespace

ProcessUsage ReadProcessUsage(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto name_end = text.rfind(')');
  if (name_end == std::string::npos) {
    return {};
  }
  std::istringstream fields(text.substr(name_end + 2));
  ProcessUsage usage;
  std::string field;
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  const auto page = static_cast<double>(sysconf(_SC_PAGESIZE));
  for (int place = 0; fields >> field; ++place) {
    if (place == kUserTimePlace || place == kSystemTimePlace) {
      usage.cpu_seconds += std::stod(field) / ticks;
    }
    if (place == kResidentPlace) {
      usage.resident_megabytes = std::stod(field) * page / kBytesPerMegabyte;
    }
  }
  return usage;
}

}  // namespace parsleyquay
