#ifndef PARSLEYQUAY_HTTP_REQUEST_FRAMING_H_
#define PARSLEYQUAY_HTTP_REQUEST_FRAMING_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "http/header_list.h"

namespace parsleyquay {

// How the receiver of a request finds the end of its body.
struct RequestFraming {
  bool has_body = false;
  std::optional<std::uint64_t> length;  // bytes; unset: chunked

  bool operator==(const RequestFraming&) const = default;
};

// Determines the framing of a request of the given HTTP version, such as
// "HTTP/1.1", from its headers. Returns std::nullopt if receivers may disagree
// about it: both Content-Length and Transfer-Encoding, more than one of either,
// a length that is not a plain number, any coding other than "chunked", chunks
// in HTTP/1.0 (RFC 9112, section 6.3), or a header name that is no token, which
// some receivers read as another name (section 5.1).
std::optional<RequestFraming> ParseRequestFraming(std::string_view version,
                                                  const HeaderList& headers);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_REQUEST_FRAMING_H_
