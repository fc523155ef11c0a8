#ifndef PARSLEYQUAY_LIMITS_GRANTED_TOKENS_H_
#define PARSLEYQUAY_LIMITS_GRANTED_TOKENS_H_

#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// Tokens that an instance holds for a workspace by grants of its homes.
struct GrantedTokens {
  struct HeldGrant {
    long tokens = 0;
    TimePoint expires_at;

    bool operator==(const HeldGrant&) const = default;
  };
  std::vector<HeldGrant> held_grants;

  bool operator==(const GrantedTokens&) const = default;
};

// Adds a grant whose request was sent at `asked_at`.
GrantedTokens AddGrant(GrantedTokens granted,
                       long tokens,
                       TimePoint asked_at,
                       Duration lifetime);

struct TokenSpendResult {
  GrantedTokens granted;
  bool is_spent = false;
};

// Spends one token that has not expired, the one that expires first.
TokenSpendResult SpendToken(GrantedTokens granted, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LIMITS_GRANTED_TOKENS_H_
