#include "idempotency/claim_table.h"

namespace parsleyquay {

ClaimAttempt RecordClaim(ClaimTable table,
                         const std::string& key_digest,
                         const std::string& request_id,
                         TimePoint now) {
  const auto existing = table.claims.find(key_digest);
  if (existing != table.claims.end()) {
    const Claim claim = existing->second;
    const bool is_same = claim.request_id == request_id;
    return {std::move(table),
            is_same ? ClaimStatus::kRecorded : ClaimStatus::kTaken, claim};
  }
  if (table.claims.size() >= kMaxClaims) {
    return {std::move(table), ClaimStatus::kFull, std::nullopt};
  }
  table.claims[key_digest] = {request_id, ClaimState::kRunning, {}, now};
  return {std::move(table), ClaimStatus::kRecorded, std::nullopt};
}

ClaimTable CompleteClaim(ClaimTable table,
                         const std::string& key_digest,
                         Claim outcome,
                         TimePoint now) {
  const auto [claim, is_new] = table.claims.try_emplace(key_digest, outcome);
  if (is_new) {
    claim->second.claimed_at = now;
    return table;
  }
  const bool is_holder = claim->second.request_id == outcome.request_id;
  if (is_holder && claim->second.state != ClaimState::kDone) {
    outcome.claimed_at = claim->second.claimed_at;
    claim->second = std::move(outcome);
  }
  return table;
}

ClaimTable AbandonClaim(ClaimTable table,
                        const std::string& key_digest,
                        const std::string& request_id) {
  const auto claim = table.claims.find(key_digest);
  const bool is_holder = claim != table.claims.end() &&
                         claim->second.request_id == request_id &&
                         claim->second.state == ClaimState::kRunning;
  if (is_holder) {
    table.claims.erase(claim);
  }
  return table;
}

ClaimTable RemoveExpiredClaims(ClaimTable table, TimePoint now) {
  std::erase_if(table.claims, [&](const auto& entry) {
    return now - entry.second.claimed_at >= kClaimRetention;
  });
  return table;
}

}  // namespace parsleyquay
