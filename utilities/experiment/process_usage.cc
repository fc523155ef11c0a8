#include "experiment/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace parsleyquay {

namespace {

// Indexes of fields in /proc/PID/stat, counted from 0 after the command name
// (proc(5)).
constexpr int kUserTimeIndex = 11;
constexpr int kSystemTimeIndex = 12;
constexpr int kResidentPagesIndex = 21;
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
  for (int index = 0; fields >> field; ++index) {
    if (index == kUserTimeIndex || index == kSystemTimeIndex) {
      usage.cpu_seconds += std::stod(field) / ticks;
    }
    if (index == kResidentPagesIndex) {
      usage.resident_megabytes = std::stod(field) * page / kBytesPerMegabyte;
    }
  }
  return usage;
}

}  // namespace parsleyquay
