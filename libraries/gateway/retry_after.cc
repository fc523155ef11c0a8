#include "gateway/retry_after.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace parsleyquay {

namespace {

constexpr double kMaxDelaySeconds = 86'400;
constexpr std::size_t kMaxLength = 16;

}  // namespace

std::optional<Duration> ParseDelaySeconds(const std::string& text) {
  const bool has_number_characters =
      std::ranges::all_of(text, [](char character) {
        return std::isdigit(static_cast<unsigned char>(character)) != 0 ||
               character == '.';
      });
  if (text.empty() || text.size() > kMaxLength || !has_number_characters ||
      std::ranges::count(text, '.') > 1 || text.front() == '.') {
    return std::nullopt;
  }
  const double delay = std::strtod(text.c_str(), nullptr);
  if (delay > kMaxDelaySeconds) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(delay));
}

}  // namespace parsleyquay
