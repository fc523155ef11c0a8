#ifndef PARSLEYQUAY_HTTP_HEADER_LIST_H_
#define PARSLEYQUAY_HTTP_HEADER_LIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyquay {

struct Header {
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

using HeaderList = std::vector<Header>;

// Compares header names, which ignore case.
bool IsSameHeaderName(std::string_view left, std::string_view right);

// The value of the first header of that name, or nullptr.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);

// The same as text, "" when the header is absent.
std::string HeaderValueOrEmpty(const HeaderList& headers,
                               std::string_view name);

// Whether the header concerns one connection only (RFC 9110, section 7.6.1).
bool IsHopByHopHeader(std::string_view name);

// The headers that go on to the next hop: without those of one connection and
// those that the Connection header names.
HeaderList EndToEndHeaders(const HeaderList& headers);

// The value of a header as a whole number; nothing when it is absent or none.
std::optional<std::uint64_t> ParseUnsignedHeader(const HeaderList& headers,
                                                 std::string_view name);

// The key of an Authorization header of the Bearer scheme (RFC 6750), or "".
std::string BearerToken(const HeaderList& headers);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_HEADER_LIST_H_
