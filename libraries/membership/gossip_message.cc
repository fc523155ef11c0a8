#include "membership/gossip_message.h"

namespace parsleyquay {

// Fields with their usual value are left out: gossip is most of what an idle
// fleet sends.
Json::Value ToJson(const GossipMessage& message) {
  Json::Value json;
  if (message.kind == GossipKind::kReply) {
    json["answer"] = true;
  }
  json["from"] = message.sender;
  json["inc"] = message.incarnation;
  json["peer"] = message.reply_address;
  json["nonce"] = Json::UInt64(message.nonce);
  json["offset"] = Json::UInt64(message.offset);
  json["view"] = Json::UInt64(message.view_version);
  json["settled"] = Json::UInt64(message.settled_version);
  if (message.is_held_by_all) {
    json["all"] = true;
  } else {
    json["hold"] = ToHex(message.view_holders);
  }
  if (message.tail_confirmed_age_ms) {
    json["age"] = Json::Int64(*message.tail_confirmed_age_ms);
  }
  if (message.is_leaving) {
    json["leaving"] = true;
  }
  if (message.is_blocked_by_gap) {
    json["gap"] = true;
  }
  if (message.load_permille != 0) {
    json["load"] = Json::Int64(message.load_permille);
  }
  return json;
}

std::optional<GossipMessage> GossipMessageFromJson(const Json::Value& json) {
  GossipMessage message;
  message.kind =
      json["answer"].asBool() ? GossipKind::kReply : GossipKind::kRequest;
  message.sender = json["from"].asString();
  message.incarnation = json["inc"].asString();
  message.reply_address = json["peer"].asString();
  message.nonce = json["nonce"].asUInt64();
  message.offset = json["offset"].asUInt64();
  message.view_version = json["view"].asUInt64();
  message.settled_version = json["settled"].asUInt64();
  const auto holders = BitmapFromHex(json["hold"].asString());
  if (!holders || message.sender.empty()) {
    return std::nullopt;
  }
  message.view_holders = *holders;
  message.is_held_by_all = json["all"].asBool();
  if (json.isMember("age") && json["age"].asInt64() >= 0) {
    message.tail_confirmed_age_ms = json["age"].asInt64();
  }
  message.is_leaving = json["leaving"].asBool();
  message.is_blocked_by_gap = json["gap"].asBool();
  message.load_permille = json["load"].asInt64();
  return message;
}

Json::Value ToJson(const ProbeRequest& request) {
  Json::Value json;
  json["from"] = request.sender;
  json["peer"] = request.reply_address;
  json["target"] = request.target;
  return json;
}

ProbeRequest ProbeRequestFromJson(const Json::Value& json) {
  return {json["from"].asString(), json["peer"].asString(),
          json["target"].asString()};
}

Json::Value ToJson(const ProbeSuccess& success) {
  Json::Value json;
  json["target"] = success.target;
  json["inc"] = success.incarnation;
  return json;
}

ProbeSuccess ProbeSuccessFromJson(const Json::Value& json) {
  return {json["target"].asString(), json["inc"].asString()};
}

}  // namespace parsleyquay
