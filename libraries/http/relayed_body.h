#ifndef PARSLEYQUAY_HTTP_RELAYED_BODY_H_
#define PARSLEYQUAY_HTTP_RELAYED_BODY_H_

#include <cstddef>
#include <string_view>

#include "http/http_call.h"
#include "http/server_exchange.h"

namespace parsleyquay {

// The first part of a caller's body, held so that it can be sent again.
struct BufferedBody {
  std::string_view bytes;
  bool is_complete = false;  // nothing follows
};

// Fills `buffer` with the next part of a caller's body: of what is held, of
// which `sent` bytes are sent, then of what the caller still sends.
BodyChunk ReadRelayedBody(const BufferedBody& buffered,
                          std::size_t& sent,
                          ServerExchange& exchange,
                          char* buffer,
                          std::size_t capacity);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_RELAYED_BODY_H_
