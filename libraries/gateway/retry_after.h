#ifndef PARSLEYQUAY_GATEWAY_RETRY_AFTER_H_
#define PARSLEYQUAY_GATEWAY_RETRY_AFTER_H_

#include <optional>
#include <string>

#include "base/clock.h"

namespace parsleyquay {

// Parses the value of a Retry-After header as a number of seconds, which may
// have a fraction, up to a day. Returns std::nullopt for anything else, such as
// a date.
std::optional<Duration> ParseDelaySeconds(const std::string& text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_RETRY_AFTER_H_
