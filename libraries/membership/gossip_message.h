#ifndef PARSLEYQUAY_MEMBERSHIP_GOSSIP_MESSAGE_H_
#define PARSLEYQUAY_MEMBERSHIP_GOSSIP_MESSAGE_H_

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>

#include "membership/bitmap.h"

namespace parsleyquay {

enum class GossipKind { kRequest, kReply };

// A gossip request or the reply to it. Both describe the sender's state.
struct GossipMessage {
  GossipKind kind = GossipKind::kRequest;
  std::string sender;
  std::string incarnation;
  std::string reply_address;  // peer address of the sender
  std::uint64_t nonce = 0;    // a reply repeats that of its request
  std::uint64_t offset = 0;   // log offset up to which the sender has read
  std::uint64_t view_version = 0;
  // Members known to hold the sender's view, by index in name order. Empty once
  // all members do, so that messages do not grow with the fleet.
  Bitmap view_holders;
  bool is_held_by_all = false;
  std::uint64_t settled_version = 0;  // see Takeover
  // Time since the sender's offset was last known to be the log's tail, in
  // milliseconds of the sender's clock; absent if it never was.
  std::optional<long> tail_confirmed_age_ms;
  bool is_leaving = false;
  bool is_blocked_by_gap = false;  // see MembershipState
  long load_permille = 0;          // requests in flight in 1/1000 of the limit

  bool operator==(const GossipMessage&) const = default;
};

Json::Value ToJson(const GossipMessage& message);

// Parses a message. Returns std::nullopt if the sender is missing or the bitmap
// is malformed. Unknown fields are ignored, so that instances of different
// versions can communicate.
std::optional<GossipMessage> GossipMessageFromJson(const Json::Value& json);

// Asks another instance to send a gossip request to `target` on the sender's
// behalf (an indirect probe).
struct ProbeRequest {
  std::string sender;
  std::string reply_address;
  std::string target;

  bool operator==(const ProbeRequest&) const = default;
};

// Reports that `target` replied to an indirect probe.
struct ProbeSuccess {
  std::string target;
  std::string incarnation;  // of the target

  bool operator==(const ProbeSuccess&) const = default;
};

Json::Value ToJson(const ProbeRequest& request);
ProbeRequest ProbeRequestFromJson(const Json::Value& json);
Json::Value ToJson(const ProbeSuccess& success);
ProbeSuccess ProbeSuccessFromJson(const Json::Value& json);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_MEMBERSHIP_GOSSIP_MESSAGE_H_
