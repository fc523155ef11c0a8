#ifndef PARSLEYQUAY_LIMITS_LIMIT_MESSAGE_H_
#define PARSLEYQUAY_LIMITS_LIMIT_MESSAGE_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace parsleyquay {

// Sent by an instance to the owner of a shard of a workspace's token bucket,
// for tokens that waiting requests need.
struct BorrowRequest {
  std::string reply_address;
  std::uint64_t nonce = 0;
  std::string workspace;
  std::uint64_t shard = 0;         // index of the shard
  std::uint64_t view_version = 0;  // view by which the sender chose the owner
  long tokens = 0;                 // number of tokens that are needed

  bool operator==(const BorrowRequest&) const = default;
};

enum class BorrowStatus {
  kGranted,
  kEmpty,     // the shard has no whole token; retry after `retry_after`
  kNotOwner,  // the receiver may not act as the shard's owner at present
};

struct BorrowReply {
  std::uint64_t nonce = 0;
  BorrowStatus status = BorrowStatus::kNotOwner;
  long tokens = 0;
  Duration lifetime = Duration(0);  // counted from the sending of the request
  Duration retry_after = Duration(0);  // until a token is available

  bool operator==(const BorrowReply&) const = default;
};

// One part of a HandoverSummary, by which a former owner tells its successor
// that it has stopped. The summary takes effect once all its parts have
// arrived.
struct HandoverPart {
  std::string sender;
  std::string incarnation;
  std::uint64_t last_view = 0;
  std::uint64_t takeover_view = 0;
  Duration takeover_age = Duration(0);   // age of `takeover_at`
  std::uint64_t index = 0;               // of this part
  std::uint64_t count = 1;               // number of parts
  std::map<std::string, double> levels;  // by shard key

  bool operator==(const HandoverPart&) const = default;
};

Json::Value ToJson(const BorrowRequest& request);
BorrowRequest BorrowRequestFromJson(const Json::Value& json);
Json::Value ToJson(const BorrowReply& reply);
// An unknown status is read as kNotOwner.
BorrowReply BorrowReplyFromJson(const Json::Value& json);
Json::Value ToJson(const HandoverPart& part);
HandoverPart HandoverPartFromJson(const Json::Value& json);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LIMITS_LIMIT_MESSAGE_H_
