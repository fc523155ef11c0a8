#ifndef PARSLEYQUAY_BASE_SOCKET_ADDRESS_H_
#define PARSLEYQUAY_BASE_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <string>

#include "base/error.h"

namespace parsleyquay {

// Parses an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:8080.
// Fails on any other text, including host names.
Result<sockaddr_in> ParseSocketAddress(const std::string& text);

// Returns whether ParseSocketAddress() accepts the text.
bool IsSocketAddress(const std::string& text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_SOCKET_ADDRESS_H_
