#ifndef PARSLEYQUAY_HTTP_REQUEST_TARGET_H_
#define PARSLEYQUAY_HTTP_REQUEST_TARGET_H_

#include <cstdint>
#include <string>

namespace parsleyquay {

// The part of a request target before its query.
std::string PathFromTarget(const std::string& target);

// The value of one query parameter, "" when it is absent.
std::string QueryValue(const std::string& target, const std::string& name);

// The same as a whole number, 0 when it is absent or none.
std::uint64_t ParseQueryNumber(const std::string& target,
                               const std::string& name);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_HTTP_REQUEST_TARGET_H_
