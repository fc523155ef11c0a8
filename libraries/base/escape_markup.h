#ifndef PARSLEYQUAY_BASE_ESCAPE_MARKUP_H_
#define PARSLEYQUAY_BASE_ESCAPE_MARKUP_H_

#include <string>

namespace parsleyquay {

// Escapes the characters <, > and & for use as text content in HTML or SVG. Not
// sufficient for attribute values.
std::string EscapeMarkup(const std::string& text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_ESCAPE_MARKUP_H_
