#include "http/request_framing.h"

#include <algorithm>

namespace parsleyquay {

namespace {

constexpr std::string_view kContentLength = "Content-Length";
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr std::string_view kTransferEncoding = "Transfer-Encoding";

std::ptrdiff_t CountHeaders(const HeaderList& headers, std::string_view name) {
  return std::ranges::count_if(headers, [&](const Header& header) {
    return IsSameHeaderName(header.name, name);
  });
}

// Returns whether the name consists of the characters that RFC 9110, section
// 5.6.2 allows.
bool IsToken(std::string_view name) {
  return !name.empty() && std::ranges::all_of(name, [](char character) {
    return (character >= '0' && character <= '9') ||
           (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           kTokenPunctuation.find(character) != std::string_view::npos;
  });
}

}  // namespace

std::optional<RequestFraming> ParseRequestFraming(std::string_view version,
                                                  const HeaderList& headers) {
  const auto lengths = CountHeaders(headers, kContentLength);
  const auto codings = CountHeaders(headers, kTransferEncoding);
  if (lengths + codings > 1 ||
      !std::ranges::all_of(headers, &IsToken, &Header::name)) {
    return std::nullopt;
  }
  if (codings == 1) {
    // Codings are case-insensitive, like header names.
    const bool is_chunked =
        version == "HTTP/1.1" &&
        IsSameHeaderName(*FindHeader(headers, kTransferEncoding), "chunked");
    return is_chunked ? std::optional(RequestFraming{.has_body = true})
                      : std::nullopt;
  }
  if (lengths == 0) {
    return RequestFraming{.length = 0};
  }
  const auto length = ParseUnsignedHeader(headers, kContentLength);
  return length
             ? std::optional(RequestFraming{.has_body = true, .length = length})
             : std::nullopt;
}

}  // namespace parsleyquay
