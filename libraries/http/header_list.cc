#include "http/header_list.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

namespace parsleyquay {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders = {
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Proxy-Connection"};

constexpr std::string_view kBearer = "Bearer ";

// Returns whether a comma-separated list of header names contains `name`.
bool IsNamedInList(std::string_view list, std::string_view name) {
  constexpr std::string_view kBlanks = " \t";
  while (!list.empty()) {
    const auto comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    item.remove_prefix(std::min(item.find_first_not_of(kBlanks), item.size()));
    item = item.substr(0, item.find_last_not_of(kBlanks) + 1);
    if (IsSameHeaderName(item, name)) {
      return true;
    }
    list = comma == std::string_view::npos ? "" : list.substr(comma + 1);
  }
  return false;
}

bool IsTokenCharacter(char character) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return (character >= '0' && character <= '9') ||
         (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         kPunctuation.find(character) != std::string_view::npos;
}

}  // namespace

bool IsHeaderName(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, &IsTokenCharacter);
}

bool IsSameHeaderName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

const std::string* FindHeader(const HeaderList& headers,
                              std::string_view name) {
  const auto found = std::ranges::find_if(headers, [&](const Header& header) {
    return IsSameHeaderName(header.name, name);
  });
  return found == headers.end() ? nullptr : &found->value;
}

std::size_t CountHeaders(const HeaderList& headers, std::string_view name) {
  return static_cast<std::size_t>(
      std::ranges::count_if(headers, [&](const Header& header) {
        return IsSameHeaderName(header.name, name);
      }));
}

std::string HeaderValueOrEmpty(const HeaderList& headers,
                               std::string_view name) {
  const std::string* value = FindHeader(headers, name);
  return value ? *value : "";
}

bool IsHopByHopHeader(std::string_view name) {
  return std::ranges::any_of(kHopByHopHeaders, [&](std::string_view hop) {
    return IsSameHeaderName(hop, name);
  });
}

HeaderList EndToEndHeaders(const HeaderList& headers) {
  const std::string connection = HeaderValueOrEmpty(headers, "Connection");
  HeaderList kept;
  std::ranges::copy_if(headers, std::back_inserter(kept),
                       [&](const Header& header) {
                         return !IsHopByHopHeader(header.name) &&
                                !IsNamedInList(connection, header.name);
                       });
  return kept;
}

void RemoveHeaders(HeaderList& headers,
                   std::initializer_list<std::string_view> names) {
  std::erase_if(headers, [&](const Header& header) {
    return std::ranges::any_of(names, [&](std::string_view name) {
      return IsSameHeaderName(header.name, name);
    });
  });
}

std::optional<std::uint64_t> ParseUnsignedHeader(const HeaderList& headers,
                                                 std::string_view name) {
  const std::string* text = FindHeader(headers, name);
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const auto parsed =
      std::from_chars(text->data(), text->data() + text->size(), number);
  const bool is_number =
      parsed.ec == std::errc() && parsed.ptr == text->data() + text->size();
  return is_number ? std::optional(number) : std::nullopt;
}

std::string BearerToken(const HeaderList& headers) {
  const std::string* value = FindHeader(headers, "Authorization");
  const bool is_bearer =
      value && value->size() > kBearer.size() &&
      IsSameHeaderName(std::string_view(*value).substr(0, kBearer.size()),
                       kBearer);
  return is_bearer ? value->substr(kBearer.size()) : "";
}

}  // namespace parsleyquay
