#ifndef PARSLEYQUAY_IDEMPOTENCY_CLAIM_TABLE_H_
#define PARSLEYQUAY_IDEMPOTENCY_CLAIM_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

enum class ClaimState {
  kRunning,  // claimed; the request may be running or may have run
  kDone,     // the request ran and its response is known
  kUnknown,  // the request was sent and its outcome is not known
};

// The HTTP response that is stored for retries of the same request.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
  bool is_body_stored = false;  // false if the body was too large to store

  bool operator==(const StoredResponse&) const = default;
};

// The right of one request to run under an idempotency key.
struct Claim {
  std::string request_id;  // request that holds the claim
  ClaimState state = ClaimState::kRunning;
  StoredResponse response;  // set in state kDone
  TimePoint claimed_at;

  bool operator==(const Claim&) const = default;
};

// The claims that one instance stores as an owner of idempotency keys, by the
// digest of the key.
struct ClaimTable {
  std::map<std::string, Claim> claims;

  bool operator==(const ClaimTable&) const = default;
};

// Age at which a claim is dropped. Longer than kPastViewRetentionMs, so that
// claims outlive the view under which they were made.
constexpr Duration kClaimRetention = seconds(660);

// Maximum number of claims that one instance stores.
constexpr std::size_t kMaxClaims = 50'000;

enum class ClaimStatus {
  kRecorded,  // the given request holds the claim
  kTaken,     // another request holds the claim
  kFull,      // not recorded, because kMaxClaims claims are stored
};

struct ClaimAttempt {
  ClaimTable table;
  ClaimStatus status = ClaimStatus::kTaken;
  std::optional<Claim> existing;  // the claim that was found, if any
};

// Records a claim for a request unless the key already has one. Idempotent for
// the same request id.
ClaimAttempt RecordClaim(ClaimTable table,
                         const std::string& key_digest,
                         const std::string& request_id,
                         TimePoint now);

// Records the outcome of the request that holds the claim, or creates the claim
// if the key has none. Ignored if another request holds the claim or if the
// claim already has a response.
ClaimTable CompleteClaim(ClaimTable table,
                         const std::string& key_digest,
                         Claim outcome,
                         TimePoint now);

// Removes the claim of a request that was never sent. Ignored if the claim is
// not the request's or has an outcome.
ClaimTable AbandonClaim(ClaimTable table,
                        const std::string& key_digest,
                        const std::string& request_id);

// Removes the claims that are kClaimRetention old.
ClaimTable RemoveExpiredClaims(ClaimTable table, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_IDEMPOTENCY_CLAIM_TABLE_H_
