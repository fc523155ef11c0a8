#ifndef PARSLEYQUAY_IDEMPOTENCY_CLAIM_MESSAGE_H_
#define PARSLEYQUAY_IDEMPOTENCY_CLAIM_MESSAGE_H_

#include <json/json.h>

#include <cstdint>
#include <string>

#include "idempotency/claim_table.h"

namespace parsleyquay {

enum class ClaimAction {
  kRecord,    // record the claim if there is none
  kLookUp,    // only tell what is remembered
  kAbandon,   // the request was never sent
  kComplete,  // the request has ended as `outcome` says
};

struct ClaimRequest {
  std::string reply_address;
  std::uint64_t nonce = 0;
  ClaimAction action = ClaimAction::kLookUp;
  std::string key_digest;
  std::uint64_t view_version = 0;
  Claim outcome;  // request_id always; the rest with kComplete

  bool operator==(const ClaimRequest&) const = default;
};

enum class ClaimReplyStatus {
  kNotFound,      // nothing is remembered (kLookUp)
  kRecorded,      // the claim is recorded
  kTaken,         // another request holds the claim
  kRejected,      // not a home, not current, or full
  kAcknowledged,  // abandoned or settled
};

struct ClaimReply {
  std::uint64_t nonce = 0;
  std::string sender;
  ClaimReplyStatus status = ClaimReplyStatus::kRejected;
  Claim existing;  // when taken

  bool operator==(const ClaimReply&) const = default;
};

Json::Value ToJson(const ClaimRequest& request);
ClaimRequest ClaimRequestFromJson(const Json::Value& json);
Json::Value ToJson(const ClaimReply& reply);
ClaimReply ClaimReplyFromJson(const Json::Value& json);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_IDEMPOTENCY_CLAIM_MESSAGE_H_
