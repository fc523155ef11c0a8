#ifndef PARSLEYQUAY_TESTS_SUPPORT_PROCESS_USAGE_H_
#define PARSLEYQUAY_TESTS_SUPPORT_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace parsleyquay {

// Returns a value in KB of the status of a process, such as "VmHWM:", or 0 if
// it cannot be read.
long StatusKilobytes(pid_t process, const std::string& name);

// Returns the bytes in the buffers of all connections that were accepted at one
// of the addresses, "ip:port" pairs.
long QueuedBytes(const std::vector<std::string>& addresses);

std::size_t CountDescriptors(pid_t process);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_TESTS_SUPPORT_PROCESS_USAGE_H_
