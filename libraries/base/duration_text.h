#ifndef PARSLEYQUAY_BASE_DURATION_TEXT_H_
#define PARSLEYQUAY_BASE_DURATION_TEXT_H_

#include <optional>
#include <string_view>

#include "base/clock.h"

namespace parsleyquay {

// Parses a number followed by "ms" or "s", such as "1500ms" or "2.5s". Returns
// std::nullopt if the text is malformed, negative, or more than 1e9 s.
std::optional<Duration> ParseDuration(std::string_view text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_DURATION_TEXT_H_
