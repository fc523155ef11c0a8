#ifndef PARSLEYQUAY_HTTP_RESPONSE_HEAD_H_
#define PARSLEYQUAY_HTTP_RESPONSE_HEAD_H_

#include <optional>
#include <string_view>

#include "http/header_list.h"
#include "http/message_framing.h"

namespace parsleyquay {

// Responses with lower status codes are interim ones.
constexpr int kFirstFinalStatus = 200;

// The head of a response: everything that is known about it apart from its
// body.
struct ResponseHead {
  int status = 0;  // 100 to 599
  HeaderList headers;
  MessageFraming framing;

  bool operator==(const ResponseHead&) const = default;
};

struct ParsedResponseHead {
  std::optional<ResponseHead> head;
  std::string_view error;  // why `head` is unset; a string literal

  bool operator==(const ParsedResponseHead&) const = default;
};

// Parses the status line and the headers of one response, with the empty line
// that ends them. A head that is not exactly as RFC 9112 has it is an error,
// also where the standard lets a recipient repair it: a server that sends parts
// of two responses produces such heads, and then no fact in them is reliable.
ParsedResponseHead ParseResponseHead(std::string_view bytes);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_RESPONSE_HEAD_H_
