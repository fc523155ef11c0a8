#include "http/chunked_body.h"

#include <algorithm>
#include <optional>

namespace parsleyquay {

namespace {

// Fits in 64 bits.
constexpr int kMaxSizeDigits = 16;

std::optional<unsigned> HexDigit(char c) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const char lower =
      c >= 'A' && c <= 'F' ? static_cast<char>(c + 'a' - 'A') : c;
  const auto found = kDigits.find(lower);
  return found == std::string_view::npos
             ? std::nullopt
             : std::optional(static_cast<unsigned>(found));
}

// Returns what follows a character of a chunk's size.
ChunkedBodyPart DecodeSize(ChunkedBody& body, char c) {
  const auto digit = HexDigit(c);
  if (digit && body.size_digits < kMaxSizeDigits) {
    body.chunk_bytes_left = body.chunk_bytes_left * 16 + *digit;
    ++body.size_digits;
    return ChunkedBodyPart::kSize;
  }
  if (digit || body.size_digits == 0) {
    return ChunkedBodyPart::kMalformed;
  }
  switch (c) {
    case '\r':
      return ChunkedBodyPart::kSizeLineFeed;
    case ';':
    case ' ':
    case '\t':
      return ChunkedBodyPart::kExtension;
    default:
      return ChunkedBodyPart::kMalformed;
  }
}

// Returns what follows a character within a line whose content is discarded.
ChunkedBodyPart SkipLine(char c,
                         ChunkedBodyPart line,
                         ChunkedBodyPart line_feed) {
  if (c == '\r') {
    return line_feed;
  }
  return c == '\n' ? ChunkedBodyPart::kMalformed : line;
}

ChunkedBodyPart Expect(char c, char expected, ChunkedBodyPart next) {
  return c == expected ? next : ChunkedBodyPart::kMalformed;
}

// Returns what follows a character that is not part of a chunk's data.
ChunkedBodyPart DecodeCharacter(ChunkedBody& body, char c) {
  switch (body.next) {
    case ChunkedBodyPart::kSize:
      return DecodeSize(body, c);
    case ChunkedBodyPart::kExtension:
      return SkipLine(c, ChunkedBodyPart::kExtension,
                      ChunkedBodyPart::kSizeLineFeed);
    case ChunkedBodyPart::kSizeLineFeed:
      body.size_digits = 0;
      return Expect(c, '\n',
                    body.chunk_bytes_left > 0 ? ChunkedBodyPart::kData
                                              : ChunkedBodyPart::kTrailerBegin);
    case ChunkedBodyPart::kDataCarriageReturn:
      return Expect(c, '\r', ChunkedBodyPart::kDataLineFeed);
    case ChunkedBodyPart::kDataLineFeed:
      return Expect(c, '\n', ChunkedBodyPart::kSize);
    case ChunkedBodyPart::kTrailerBegin:
      return SkipLine(c, ChunkedBodyPart::kTrailer,
                      ChunkedBodyPart::kLastLineFeed);
    case ChunkedBodyPart::kTrailer:
      return SkipLine(c, ChunkedBodyPart::kTrailer,
                      ChunkedBodyPart::kTrailerLineFeed);
    case ChunkedBodyPart::kTrailerLineFeed:
      return Expect(c, '\n', ChunkedBodyPart::kTrailerBegin);
    case ChunkedBodyPart::kLastLineFeed:
      return Expect(c, '\n', ChunkedBodyPart::kNothing);
    case ChunkedBodyPart::kData:
    case ChunkedBodyPart::kNothing:
    case ChunkedBodyPart::kMalformed:
      break;
  }
  return ChunkedBodyPart::kMalformed;
}

}  // namespace

DecodedChunks DecodeChunks(ChunkedBody& body, std::string_view bytes) {
  DecodedChunks decoded;
  while (decoded.consumed < bytes.size() && !body.is_complete() &&
         !body.is_malformed()) {
    if (body.next != ChunkedBodyPart::kData) {
      body.next = DecodeCharacter(body, bytes[decoded.consumed++]);
      continue;
    }
    const std::string_view data =
        bytes.substr(decoded.consumed, body.chunk_bytes_left);
    decoded.data += data;
    decoded.consumed += data.size();
    body.chunk_bytes_left -= data.size();
    if (body.chunk_bytes_left == 0) {
      body.next = ChunkedBodyPart::kDataCarriageReturn;
    }
  }
  return decoded;
}

}  // namespace parsleyquay
