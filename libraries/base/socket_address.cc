#include "base/socket_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <optional>

namespace parsleyquay {

namespace {

std::optional<sockaddr_in> Parse(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  const bool is_port = parsed.ec == std::errc() && parsed.ptr == end;
  const std::string host = text.substr(0, colon);
  if (!is_port || port == 0 ||
      inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  address.sin_port = htons(port);
  return address;
}

}  // namespace

Result<sockaddr_in> ParseSocketAddress(const std::string& text) {
  const std::optional<sockaddr_in> address = Parse(text);
  if (!address) {
    return Fail({"read address", text, "expected ip:port"});
  }
  return *address;
}

bool IsSocketAddress(const std::string& text) {
  return Parse(text).has_value();
}

}  // namespace parsleyquay
