#include "http/response_head.h"

#include <algorithm>
#include <string>

namespace parsleyquay {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::string_view kBlanks = " \t";
constexpr int kLastStatus = 599;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Returns whether the character may stand in a header value or a reason phrase.
bool IsTextCharacter(char c) {
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != kDelete);
}

// Returns whether the text begins like a status line, in any version.
bool BeginsLikeStatusLine(std::string_view text) {
  constexpr std::string_view kShape = "HTTP/d.d ddd";
  return text.size() >= kShape.size() &&
         std::equal(kShape.begin(), kShape.end(), text.begin(),
                    [](char shape, char c) {
                      return shape == 'd' ? IsDigit(c) : shape == c;
                    });
}

// Returns whether a status line stands within the text. The text of one
// response then ends within the line, and another response follows.
bool ContainsStatusLine(std::string_view text) {
  for (std::size_t at = text.find("HTTP/"); at != std::string_view::npos;
       at = text.find("HTTP/", at + 1)) {
    if (BeginsLikeStatusLine(text.substr(at))) {
      return true;
    }
  }
  return false;
}

// Returns the status of a status line, or std::nullopt if it is malformed.
std::optional<int> ParseStatusLine(std::string_view line) {
  // Version, blank, three digits, and either the end or a blank and the reason.
  constexpr std::size_t kStatusBegin = kVersionPrefix.size() + 2;
  constexpr std::size_t kStatusEnd = kStatusBegin + 3;
  if (!line.starts_with(kVersionPrefix) || !BeginsLikeStatusLine(line)) {
    return std::nullopt;
  }
  const char minor_version = line[kVersionPrefix.size()];
  const bool has_end = line.size() == kStatusEnd || line[kStatusEnd] == ' ';
  if ((minor_version != '0' && minor_version != '1') || !has_end) {
    return std::nullopt;
  }
  const int status = std::stoi(std::string(line.substr(kStatusBegin, 3)));
  return status >= 100 && status <= kLastStatus ? std::optional(status)
                                                : std::nullopt;
}

std::optional<Header> ParseHeaderLine(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !IsHeaderName(line.substr(0, colon))) {
    return std::nullopt;
  }
  std::string_view value = line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(kBlanks), value.size()));
  value = value.substr(0, value.find_last_not_of(kBlanks) + 1);
  return Header{std::string(line.substr(0, colon)), std::string(value)};
}

}  // namespace

ParsedResponseHead ParseResponseHead(std::string_view bytes) {
  ResponseHead head;
  bool is_first_line = true;
  std::string_view version;
  while (true) {
    const auto end = bytes.find(kLineEnd);
    if (end == std::string_view::npos) {
      return {.error = "response headers without an end"};
    }
    const std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + kLineEnd.size());
    if (!std::ranges::all_of(line, IsTextCharacter)) {
      return {.error = "control character in the response headers"};
    }
    if (ContainsStatusLine(is_first_line && !line.empty() ? line.substr(1)
                                                          : line)) {
      return {.error = "two responses run together"};
    }
    if (is_first_line) {
      const auto status = ParseStatusLine(line);
      if (!status) {
        return {.error = "malformed status line"};
      }
      head.status = *status;
      version = line.substr(0, kVersionPrefix.size() + 1);
      is_first_line = false;
      continue;
    }
    if (line.empty()) {
      break;
    }
    auto header = ParseHeaderLine(line);
    if (!header) {
      return {.error = "malformed response header"};
    }
    head.headers.push_back(*std::move(header));
  }
  if (!bytes.empty()) {
    return {.error = "bytes after the response headers"};
  }
  const auto framing = ParseMessageFraming(version, head.headers);
  if (!framing) {
    return {.error = "conflicting lengths of a response body"};
  }
  head.framing = *framing;
  return {.head = std::move(head)};
}

}  // namespace parsleyquay
