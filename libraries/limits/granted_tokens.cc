#include "limits/granted_tokens.h"

#include <algorithm>

namespace parsleyquay {

namespace {

GrantedTokens DropExpired(GrantedTokens granted, TimePoint now) {
  std::erase_if(granted.held_grants,
                [&](const GrantedTokens::HeldGrant& held_grant) {
                  return held_grant.tokens <= 0 || held_grant.expires_at <= now;
                });
  return granted;
}

}  // namespace

GrantedTokens AddGrant(GrantedTokens granted,
                       long tokens,
                       TimePoint asked_at,
                       Duration lifetime) {
  granted.held_grants.push_back({tokens, asked_at + lifetime});
  return granted;
}

TokenSpendResult SpendToken(GrantedTokens granted, TimePoint now) {
  granted = DropExpired(std::move(granted), now);
  const auto first = std::ranges::min_element(
      granted.held_grants, {}, &GrantedTokens::HeldGrant::expires_at);
  if (first == granted.held_grants.end()) {
    return {std::move(granted), false};
  }
  --first->tokens;
  return {std::move(granted), true};
}

}  // namespace parsleyquay
