#ifndef PARSLEYQUAY_HTTP_CHUNKED_BODY_H_
#define PARSLEYQUAY_HTTP_CHUNKED_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyquay {

// The part of a chunked body (RFC 9112, section 7.1) that comes next.
enum class ChunkedBodyPart {
  kSize,
  kExtension,
  kSizeLineFeed,
  kData,
  kDataCarriageReturn,
  kDataLineFeed,
  kTrailerBegin,  // the first character of a trailer line, or of the last line
  kTrailer,
  kTrailerLineFeed,
  kLastLineFeed,
  kNothing,    // the body is complete
  kMalformed,  // the body cannot be read any further
};

// How far a chunked body has been decoded.
struct ChunkedBody {
  ChunkedBodyPart next = ChunkedBodyPart::kSize;
  std::uint64_t chunk_bytes_left = 0;
  int size_digits = 0;  // of the current chunk

  bool is_complete() const { return this->next == ChunkedBodyPart::kNothing; }
  bool is_malformed() const {
    return this->next == ChunkedBodyPart::kMalformed;
  }

  bool operator==(const ChunkedBody&) const = default;
};

struct DecodedChunks {
  std::string data;
  std::size_t consumed = 0;  // bytes; fewer than passed if the body has ended

  bool operator==(const DecodedChunks&) const = default;
};

// Decodes the next bytes of a chunked body. Trailers are discarded.
DecodedChunks DecodeChunks(ChunkedBody& body, std::string_view bytes);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_CHUNKED_BODY_H_
