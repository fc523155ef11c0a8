#ifndef PARSLEYQUAY_HTTP_MESSAGE_FRAMING_H_
#define PARSLEYQUAY_HTTP_MESSAGE_FRAMING_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "http/header_list.h"

namespace parsleyquay {

// How the receiver of a message finds the end of its body.
enum class BodyFraming {
  kNotStated,  // a request has no body, that of a response ends with its
               // connection
  kLength,
  kChunked,
};

struct MessageFraming {
  BodyFraming body = BodyFraming::kNotStated;
  std::uint64_t length = 0;  // bytes, with BodyFraming::kLength

  bool operator==(const MessageFraming&) const = default;
};

// Determines the framing of a message of the given HTTP version, such as
// "HTTP/1.1", from its headers. Returns std::nullopt if receivers may disagree
// about it: both Content-Length and Transfer-Encoding, more than one of either,
// a length that is not a plain number, any coding other than "chunked", or
// chunks in HTTP/1.0 (RFC 9112, section 6.3).
std::optional<MessageFraming> ParseMessageFraming(std::string_view version,
                                                  const HeaderList& headers);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_MESSAGE_FRAMING_H_
