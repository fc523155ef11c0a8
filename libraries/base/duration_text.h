#ifndef PARSLEYQUAY_BASE_DURATION_TEXT_H_
#define PARSLEYQUAY_BASE_DURATION_TEXT_H_

#include <optional>
#include <string_view>

#include "base/clock.h"

namespace parsleyquay {

// Reads a number with its unit, such as "1500ms" or "2.5s"; nothing when the
// text is no such duration or is negative.
std::optional<Duration> ParseDuration(std::string_view text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_DURATION_TEXT_H_
