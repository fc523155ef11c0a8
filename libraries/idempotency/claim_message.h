#ifndef PARSLEYQUAY_IDEMPOTENCY_CLAIM_MESSAGE_H_
#define PARSLEYQUAY_IDEMPOTENCY_CLAIM_MESSAGE_H_

#include <json/json.h>

#include <cstdint>
#include <string>

#include "idempotency/claim_table.h"

namespace parsleyquay {

enum class ClaimAction {
  kRecord,    // record the claim if the key has none
  kLookUp,    // return the claim without recording one
  kAbandon,   // remove the claim of a request that was never sent
  kComplete,  // record the request's outcome
};

// Sent to an owner of an idempotency key, present or former.
struct ClaimRequest {
  std::string reply_address;
  std::uint64_t nonce = 0;
  ClaimAction action = ClaimAction::kLookUp;
  std::string key_digest;
  std::uint64_t view_version = 0;
  Claim outcome;  // `request_id` is always set, the rest only with kComplete

  bool operator==(const ClaimRequest&) const = default;
};

enum class ClaimReplyStatus {
  kNotFound,      // no other request holds the claim (reply to kLookUp)
  kRecorded,      // the claim is recorded
  kTaken,         // another request holds the claim
  kRejected,      // the receiver is no owner, is not current, or has no room
  kAcknowledged,  // kAbandon or kComplete was processed
};

struct ClaimReply {
  std::uint64_t nonce = 0;
  std::string sender;
  ClaimReplyStatus status = ClaimReplyStatus::kRejected;
  Claim existing;  // set with kTaken

  bool operator==(const ClaimReply&) const = default;
};

// Conversions to and from the wire format. Unknown enumerators are read as
// kLookUp, kRejected and ClaimState::kUnknown.
Json::Value ToJson(const ClaimRequest& request);
ClaimRequest ClaimRequestFromJson(const Json::Value& json);
Json::Value ToJson(const ClaimReply& reply);
ClaimReply ClaimReplyFromJson(const Json::Value& json);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_IDEMPOTENCY_CLAIM_MESSAGE_H_
