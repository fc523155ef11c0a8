#ifndef PARSLEYQUAY_LIMITS_LIMIT_MESSAGE_H_
#define PARSLEYQUAY_LIMITS_LIMIT_MESSAGE_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace parsleyquay {

// Asks the home of a share for tokens that are needed now.
struct BorrowRequest {
  std::string reply_address;
  std::uint64_t nonce = 0;
  std::string workspace;
  std::uint64_t shard = 0;
  std::uint64_t view_version = 0;
  long tokens = 0;

  bool operator==(const BorrowRequest&) const = default;
};

enum class BorrowStatus {
  kGranted,
  kEmpty,     // ask again after `retry_after`
  kNotOwner,  // the instance may not act as this share's home at present
};

struct BorrowReply {
  std::uint64_t nonce = 0;
  BorrowStatus status = BorrowStatus::kNotOwner;
  long tokens = 0;
  Duration lifetime = Duration(0);  // counted from when the request was sent
  Duration retry_after = Duration(0);

  bool operator==(const BorrowReply&) const = default;
};

// One piece of a HandoverSummary: a former home tells a successor that it has
// stopped. The summary counts only once all pieces have arrived.
struct HandoverPart {
  std::string sender;
  std::string incarnation;
  std::uint64_t last_view = 0;
  std::uint64_t takeover_view = 0;
  Duration takeover_age = Duration(0);
  std::uint64_t index = 0;
  std::uint64_t count = 1;
  std::map<std::string, double> levels;  // by share key

  bool operator==(const HandoverPart&) const = default;
};

Json::Value ToJson(const BorrowRequest& request);
BorrowRequest BorrowRequestFromJson(const Json::Value& json);
Json::Value ToJson(const BorrowReply& reply);
BorrowReply BorrowReplyFromJson(const Json::Value& json);
Json::Value ToJson(const HandoverPart& part);
HandoverPart HandoverPartFromJson(const Json::Value& json);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_LIMITS_LIMIT_MESSAGE_H_
