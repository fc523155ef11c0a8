#ifndef PARSLEYQUAY_HTTP_REQUEST_TARGET_H_
#define PARSLEYQUAY_HTTP_REQUEST_TARGET_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleyquay {

// Whether a server can read the target of a request as it is: it has no
// whitespace or control characters, which could end it, and no fragment, which
// is not part of a target (RFC 9112, section 3.2).
bool IsRequestTarget(std::string_view text);

// Returns the path of a request target, without the query.
std::string PathFromTarget(const std::string& target);

// Returns the value of the first query parameter with that name, without
// percent-decoding, or "" if there is none.
std::string QueryValue(const std::string& target, const std::string& name);

// Parses the value of a query parameter as an unsigned decimal number, up to
// the first other character. Returns 0 if the parameter is absent or does not
// begin with a number.
std::uint64_t ParseQueryNumber(const std::string& target,
                               const std::string& name);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_REQUEST_TARGET_H_
