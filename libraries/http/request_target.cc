#include "http/request_target.h"

#include <algorithm>
#include <charconv>

namespace parsleyquay {

bool IsRequestTarget(std::string_view text) {
  constexpr unsigned char kDelete = 0x7f;
  return !text.empty() && std::ranges::none_of(text, [](unsigned char byte) {
    return byte <= ' ' || byte == kDelete || byte == '#';
  });
}

std::string PathFromTarget(const std::string& target) {
  return target.substr(0, target.find('?'));
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos) {
    return "";
  }
  const std::string text = "&" + target.substr(query + 1);
  const auto start = text.find("&" + name + "=");
  if (start == std::string::npos) {
    return "";
  }
  const auto value = start + name.size() + 2;
  return text.substr(value, text.find('&', value) - value);
}

std::uint64_t ParseQueryNumber(const std::string& target,
                               const std::string& name) {
  const std::string text = QueryValue(target, name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace parsleyquay
