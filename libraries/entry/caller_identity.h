#ifndef PARSLEYQUAY_ENTRY_CALLER_IDENTITY_H_
#define PARSLEYQUAY_ENTRY_CALLER_IDENTITY_H_

#include <optional>
#include <string>

#include "fleet/fleet_state.h"
#include "http/header_list.h"

namespace parsleyquay {

// The workspace of the key that came with a request, and the key's digest.
struct CallerIdentity {
  std::string key_digest;  // "" when no key came
  std::string workspace;

  bool operator==(const CallerIdentity&) const = default;
};

// Reads the key of a request; nothing when it is not in use.
std::optional<CallerIdentity> AuthenticateCaller(const FleetState& fleet,
                                                 const HeaderList& headers);

// What names an idempotency key of a workspace in the claim ledgers.
std::string MakeClaimDigest(const std::string& workspace,
                            const std::string& idempotency_key);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ENTRY_CALLER_IDENTITY_H_
