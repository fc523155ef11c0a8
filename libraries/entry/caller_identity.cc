#include "entry/caller_identity.h"

#include "base/random_id.h"

namespace parsleyquay {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kClaimDigestLength = 32;  // hexadecimal digits

}  // namespace

std::optional<CallerIdentity> AuthenticateCaller(const FleetState& fleet,
                                                 const HeaderList& headers) {
  const std::string authorization =
      HeaderValueOrEmpty(headers, "Authorization");
  if (!authorization.starts_with(kBearer)) {
    return std::nullopt;
  }
  const std::string digest = SecretDigest(authorization.substr(kBearer.size()));
  const auto entry = fleet.keys.find(digest);
  // The digest of a guess says nothing of the key, so that the order in which
  // the map compares is harmless; the last word is compared in constant time.
  if (entry == fleet.keys.end() ||
      !IsEqualInConstantTime(entry->first, digest)) {
    return std::nullopt;
  }
  return CallerIdentity{digest, entry->second.workspace};
}

std::string MakeClaimDigest(const std::string& workspace,
                            const std::string& idempotency_key) {
  return SecretDigest(workspace + '\n' + idempotency_key)
      .substr(0, kClaimDigestLength);
}

}  // namespace parsleyquay
