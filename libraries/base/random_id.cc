#include "base/random_id.h"

#include <sodium.h>

#include <vector>

namespace parsleyquay {

namespace {

constexpr std::size_t kDigestBytes = 32;

std::string ToHex(const std::vector<unsigned char>& bytes) {
  std::string text(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

}  // namespace

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buffer(bytes);
  randombytes_buf(buffer.data(), buffer.size());
  return ToHex(buffer);
}

std::string SecretDigest(const std::string& secret) {
  std::vector<unsigned char> digest(kDigestBytes);
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(secret.data()),
                     secret.size(), nullptr, 0);
  return ToHex(digest);
}

bool IsEqualInConstantTime(const std::string& left, const std::string& right) {
  return left.size() == right.size() &&
         sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace parsleyquay
