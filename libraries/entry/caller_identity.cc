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
  // The map's comparisons do not take constant time. This is harmless, as the
  // digest of a guessed key reveals nothing about a real key. The comparison
  // that decides takes constant time.
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
