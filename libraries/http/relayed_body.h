#ifndef PARSLEYQUAY_HTTP_RELAYED_BODY_H_
#define PARSLEYQUAY_HTTP_RELAYED_BODY_H_

#include <cstddef>
#include <string_view>

#include "http/http_call.h"
#include "http/server_exchange.h"

namespace parsleyquay {

// The buffered first part of a client's request body. It is kept so that the
// request can be repeated.
struct BufferedBody {
  std::string_view bytes;
  bool is_complete = false;  // this is the entire body
};

// Writes the next part of a client's request body to `buffer`: first the
// buffered bytes from offset `sent` on, and then what the exchange receives.
// Advances `sent` by the number of buffered bytes that it wrote.
BodyChunk ReadRelayedBody(const BufferedBody& buffered,
                          std::size_t& sent,
                          ServerExchange& exchange,
                          char* buffer,
                          std::size_t capacity);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_RELAYED_BODY_H_
