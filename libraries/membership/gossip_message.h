#ifndef PARSLEYQUAY_MEMBERSHIP_GOSSIP_MESSAGE_H_
#define PARSLEYQUAY_MEMBERSHIP_GOSSIP_MESSAGE_H_

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>

#include "membership/bitmap.h"

namespace parsleyquay {

enum class GossipKind { kRequest, kReply };

// What two instances tell each other, in question and answer alike.
struct GossipMessage {
  GossipKind kind = GossipKind::kRequest;
  std::string sender;
  std::string incarnation;
  std::string reply_address;  // peer address of the sender
  std::uint64_t nonce = 0;    // an answer repeats its question's
  std::uint64_t offset = 0;   // log offset that the sender holds
  std::uint64_t view_version = 0;
  // Members known to hold the view, in name order; left out once all do, so
  // that messages do not grow with the fleet.
  Bitmap view_holders;
  bool is_held_by_all = false;
  std::uint64_t settled_version = 0;  // see Takeover
  // How long ago the sender's offset was known to be the log's tail, by the
  // sender's clock; absent when it was not.
  std::optional<long> tail_confirmed_age_ms;
  bool is_leaving = false;
  bool is_blocked_by_gap = false;  // see MembershipState
  long load_permille = 0;  // requests in flight against the instance's limit

  bool operator==(const GossipMessage&) const = default;
};

Json::Value ToJson(const GossipMessage& message);

// Reads a message; nothing when it is malformed. Unknown fields are ignored,
// so that instances of different versions understand each other.
std::optional<GossipMessage> GossipMessageFromJson(const Json::Value& json);

// Asks another instance to question `target` in the sender's place.
struct ProbeRequest {
  std::string sender;
  std::string reply_address;
  std::string target;

  bool operator==(const ProbeRequest&) const = default;
};

// Tells that `target` answered, as asked for by a ProbeRequest.
struct ProbeSuccess {
  std::string target;
  std::string incarnation;

  bool operator==(const ProbeSuccess&) const = default;
};

Json::Value ToJson(const ProbeRequest& request);
ProbeRequest ProbeRequestFromJson(const Json::Value& json);
Json::Value ToJson(const ProbeSuccess& success);
ProbeSuccess ProbeSuccessFromJson(const Json::Value& json);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_MEMBERSHIP_GOSSIP_MESSAGE_H_
