#ifndef PARSLEYQUAY_BASE_RANDOM_ID_H_
#define PARSLEYQUAY_BASE_RANDOM_ID_H_

#include <cstddef>
#include <string>

namespace parsleyquay {

// Returns `bytes` random bytes as lower-case hexadecimal text.
std::string RandomHex(std::size_t bytes);

// Returns the BLAKE2b digest (32 bytes) of a secret as lower-case hexadecimal
// text.
std::string SecretDigest(const std::string& secret);

// Compares two strings in a time that does not depend on their contents, only
// on their lengths.
bool IsEqualInConstantTime(const std::string& left, const std::string& right);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BASE_RANDOM_ID_H_
