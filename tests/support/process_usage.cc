#include "support/process_usage.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace parsleyquay {

namespace {

constexpr int kHexadecimal = 16;
constexpr char kListening[] = "0A";  // as a state in /proc/net/tcp

std::string FileOf(pid_t process, const std::string& name) {
  return "/proc/" + std::to_string(process) + "/" + name;
}

}  // namespace

long StatusKilobytes(pid_t process, const std::string& name) {
  std::ifstream status(FileOf(process, "status"));
  for (std::string word; status >> word;) {
    long kilobytes = 0;
    if (word == name && status >> kilobytes) {
      return kilobytes;
    }
  }
  return 0;
}

long QueuedBytes(const std::vector<std::string>& addresses) {
  long queued = 0;
  std::ifstream sockets("/proc/net/tcp");
  std::string line;
  std::getline(sockets, line);  // the names of the columns
  while (std::getline(sockets, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    // Addresses are "ADDRESS:PORT" and queues "SENT:RECEIVED".
    const std::string port =
        ":" + std::to_string(std::stol(local.substr(local.find(':') + 1),
                                       nullptr, kHexadecimal));
    const bool is_counted =
        state != kListening &&
        std::ranges::any_of(addresses, [&](const std::string& address) {
          return address.ends_with(port);
        });
    if (is_counted) {
      const std::size_t colon = queues.find(':');
      queued += std::stol(queues.substr(0, colon), nullptr, kHexadecimal) +
                std::stol(queues.substr(colon + 1), nullptr, kHexadecimal);
    }
  }
  return queued;
}

std::size_t CountDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator entries(FileOf(process, "fd"),
                                                    error);
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

}  // namespace parsleyquay
