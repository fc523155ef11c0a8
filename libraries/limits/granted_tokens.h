#ifndef PARSLEYQUAY_LIMITS_GRANTED_TOKENS_H_
#define PARSLEYQUAY_LIMITS_GRANTED_TOKENS_H_

#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// Tokens of one workspace that shard owners have granted to this instance.
struct GrantedTokens {
  struct HeldGrant {
    long tokens = 0;  // unspent tokens
    TimePoint expires_at;

    bool operator==(const HeldGrant&) const = default;
  };
  std::vector<HeldGrant> held_grants;

  bool operator==(const GrantedTokens&) const = default;
};

// Adds a grant. Its lifetime counts from `requested_at`, when the request for
// it was sent, so that it expires here no later than at the owner that granted
// it.
GrantedTokens AddGrant(GrantedTokens granted,
                       long tokens,
                       TimePoint requested_at,
                       Duration lifetime);

struct TokenSpendResult {
  GrantedTokens granted;  // the updated grants
  bool is_spent = false;
};

// Spends the unexpired token that expires first, if there is one, and drops
// expired grants.
TokenSpendResult SpendToken(GrantedTokens granted, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LIMITS_GRANTED_TOKENS_H_
