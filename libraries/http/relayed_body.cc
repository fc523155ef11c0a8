#include "http/relayed_body.h"

#include <algorithm>
#include <cstring>

namespace parsleyquay {

BodyChunk ReadRelayedBody(const BufferedBody& buffered,
                          std::size_t& sent,
                          ServerExchange& exchange,
                          char* buffer,
                          std::size_t capacity) {
  const std::size_t left = buffered.bytes.size() - sent;
  if (left > 0) {
    const std::size_t size = std::min(left, capacity);
    std::memcpy(buffer, buffered.bytes.data() + sent, size);
    sent += size;
    return {BodyState::kData, size};
  }
  if (buffered.is_complete) {
    return {BodyState::kEnd, 0};
  }
  const std::size_t size = exchange.ReadBody(buffer, capacity);
  if (size > 0) {
    return {BodyState::kData, size};
  }
  return {exchange.is_body_complete() ? BodyState::kEnd : BodyState::kNotReady,
          0};
}

}  // namespace parsleyquay
