#ifndef PARSLEYQUAY_HTTP_HEADER_LIST_H_
#define PARSLEYQUAY_HTTP_HEADER_LIST_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
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

// Compares two header names without regard to case.
bool IsSameHeaderName(std::string_view left, std::string_view right);

// Returns whether the text may be the name of a header: it is a token (RFC
// 9110, section 5.6.2).
bool IsHeaderName(std::string_view text);

// Returns the value of the first header with that name, or nullptr if there is
// none.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);

// Returns how many headers have that name.
std::size_t CountHeaders(const HeaderList& headers, std::string_view name);

// Returns the value of the first header with that name, or "" if there is none.
std::string HeaderValueOrEmpty(const HeaderList& headers,
                               std::string_view name);

// Returns whether the header applies to a single connection only and must not
// be forwarded (RFC 9110, section 7.6.1).
bool IsHopByHopHeader(std::string_view name);

// Returns the headers that a proxy forwards to the next hop: all except the
// hop-by-hop headers and those that the Connection header lists.
HeaderList EndToEndHeaders(const HeaderList& headers);

// Removes all headers with any of the names.
void RemoveHeaders(HeaderList& headers,
                   std::initializer_list<std::string_view> names);

// Parses the value of a header as an unsigned decimal number. Returns
// std::nullopt if the header is absent, or if its value has any other character
// or does not fit in 64 bits.
std::optional<std::uint64_t> ParseUnsignedHeader(const HeaderList& headers,
                                                 std::string_view name);

// Returns the token of an Authorization header with the Bearer scheme
// (RFC 6750), or "" if there is none.
std::string BearerToken(const HeaderList& headers);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_HEADER_LIST_H_
