#ifndef PARSLEYQUAY_ENTRY_CALLER_IDENTITY_H_
#define PARSLEYQUAY_ENTRY_CALLER_IDENTITY_H_

#include <optional>
#include <string>

#include "fleet/fleet_state.h"
#include "http/header_list.h"

namespace parsleyquay {

// The API key that authenticates a request, and the workspace it belongs to.
struct CallerIdentity {
  std::string key_digest;  // "" if the request has no key
  std::string workspace;

  bool operator==(const CallerIdentity&) const = default;
};

// Authenticates a request by the API key in its Authorization header (Bearer
// scheme). Returns std::nullopt if there is no such header or if no such key is
// in use.
std::optional<CallerIdentity> AuthenticateCaller(const FleetState& fleet,
                                                 const HeaderList& headers);

// Returns the digest under which the claim of a workspace's idempotency key is
// stored, as 32 hexadecimal digits.
std::string MakeClaimDigest(const std::string& workspace,
                            const std::string& idempotency_key);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_CALLER_IDENTITY_H_
