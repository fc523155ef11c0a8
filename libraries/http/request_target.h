#ifndef PARSLEYQUAY_HTTP_REQUEST_TARGET_H_
#define PARSLEYQUAY_HTTP_REQUEST_TARGET_H_

#include <cstdint>
#include <string>

namespace parsleyquay {

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
