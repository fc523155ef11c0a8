#ifndef PARSLEYQUAY_LIMITS_TOKEN_WALLET_H_
#define PARSLEYQUAY_LIMITS_TOKEN_WALLET_H_

#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// Tokens of one workspace that shard owners have granted to this instance.
struct TokenWallet {
  struct Holding {
    long tokens = 0;  // unspent tokens
    TimePoint expires_at;

    bool operator==(const Holding&) const = default;
  };
  std::vector<Holding> holdings;

  bool operator==(const TokenWallet&) const = default;
};

// Adds a grant. Its lifetime counts from `asked_at`, when the request for it
// was sent, so that it expires here no later than at the owner that granted it.
TokenWallet AddGrant(TokenWallet wallet,
                     long tokens,
                     TimePoint asked_at,
                     Duration lifetime);

struct WalletSpend {
  TokenWallet wallet;  // the updated grants
  bool is_spent = false;
};

// Spends the unexpired token that expires first, if there is one, and drops
// expired grants.
WalletSpend SpendOne(TokenWallet wallet, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LIMITS_TOKEN_WALLET_H_
