#ifndef PARSLEYQUAY_IDEMPOTENCY_CLAIM_TABLE_H_
#define PARSLEYQUAY_IDEMPOTENCY_CLAIM_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

enum class ClaimState {
  kRunning,  // claimed; the request may be running or have run
  kDone,     // it ran, and its answer is known
  kUnknown,  // it was sent, and its outcome is not known
};

// The answer that is kept for a repeated request.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
  bool is_body_stored = false;  // large bodies are not

  bool operator==(const StoredResponse&) const = default;
};

struct Claim {
  std::string request_id;  // of the request that holds the claim
  ClaimState state = ClaimState::kRunning;
  StoredResponse response;
  TimePoint claimed_at;

  bool operator==(const Claim&) const = default;
};

// What one home remembers of idempotency keys, by digest.
struct ClaimTable {
  std::map<std::string, Claim> claims;

  bool operator==(const ClaimTable&) const = default;
};

// How long a claim is remembered at least. Longer than kPastViewRetentionMs, so
// that whoever is asked about an earlier view still remembers it.
constexpr Duration kClaimRetention = seconds(660);

constexpr std::size_t kMaxClaims = 50'000;

enum class ClaimStatus {
  kRecorded,  // the caller's request holds the claim
  kTaken,     // another request holds it
  kFull,      // the ledger can take no more
};

struct ClaimAttempt {
  ClaimTable table;
  ClaimStatus status = ClaimStatus::kTaken;
  std::optional<Claim> existing;  // when taken
};

// Records a claim unless another request has one. Claiming again with the same
// request id changes nothing.
ClaimAttempt RecordClaim(ClaimTable table,
                         const std::string& key_digest,
                         const std::string& request_id,
                         TimePoint now);

// Records how the request that holds the claim ended. A known answer is never
// replaced.
ClaimTable CompleteClaim(ClaimTable table,
                         const std::string& key_digest,
                         Claim outcome,
                         TimePoint now);

// Gives up a claim whose request was never sent.
ClaimTable AbandonClaim(ClaimTable table,
                        const std::string& key_digest,
                        const std::string& request_id);

ClaimTable RemoveExpiredClaims(ClaimTable table, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_IDEMPOTENCY_CLAIM_TABLE_H_
