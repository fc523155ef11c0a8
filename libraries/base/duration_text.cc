#include "base/duration_text.h"

#include <charconv>

namespace parsleyquay {

namespace {

constexpr double kMicrosecondsPerMillisecond = 1'000;
constexpr double kMicrosecondsPerSecond = 1'000'000;
constexpr double kMaxSeconds = 1e9;

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  double number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  const std::string_view unit(parsed.ptr,
                              text.data() + text.size() - parsed.ptr);
  const double scale = unit == "ms"  ? kMicrosecondsPerMillisecond
                       : unit == "s" ? kMicrosecondsPerSecond
                                     : 0;
  const bool is_in_range =
      number >= 0 && number * scale <= kMaxSeconds * kMicrosecondsPerSecond;
  if (scale == 0 || !is_in_range) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(number * scale));
}

}  // namespace parsleyquay
