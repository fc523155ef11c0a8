#include "http/message_framing.h"

namespace parsleyquay {

namespace {

constexpr std::string_view kContentLength = "Content-Length";
constexpr std::string_view kTransferEncoding = "Transfer-Encoding";

}  // namespace

std::optional<MessageFraming> ParseMessageFraming(std::string_view version,
                                                  const HeaderList& headers) {
  const auto codings = CountHeaders(headers, kTransferEncoding);
  const auto lengths = CountHeaders(headers, kContentLength);
  if (codings + lengths > 1) {
    return std::nullopt;
  }
  if (codings == 1) {
    // Codings are case-insensitive, like header names.
    const bool is_chunked =
        version == "HTTP/1.1" &&
        IsSameHeaderName(*FindHeader(headers, kTransferEncoding), "chunked");
    return is_chunked ? std::optional(MessageFraming{BodyFraming::kChunked})
                      : std::nullopt;
  }
  if (lengths == 0) {
    return MessageFraming{};
  }
  const auto length = ParseUnsignedHeader(headers, kContentLength);
  return length ? std::optional(MessageFraming{BodyFraming::kLength, *length})
                : std::nullopt;
}

}  // namespace parsleyquay
