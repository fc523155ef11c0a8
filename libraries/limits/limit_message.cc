#include "limits/limit_message.h"

namespace parsleyquay {

Json::Value ToJson(const BorrowRequest& request) {
  Json::Value json;
  json["peer"] = request.reply_address;
  json["nonce"] = Json::UInt64(request.nonce);
  json["ws"] = request.workspace;
  json["share"] = Json::UInt64(request.shard);
  json["view"] = Json::UInt64(request.view_version);
  json["n"] = Json::Int64(request.tokens);
  return json;
}

BorrowRequest BorrowRequestFromJson(const Json::Value& json) {
  return {json["peer"].asString(), json["nonce"].asUInt64(),
          json["ws"].asString(),   json["share"].asUInt64(),
          json["view"].asUInt64(), json["n"].asInt64()};
}

Json::Value ToJson(const BorrowReply& reply) {
  Json::Value json;
  json["nonce"] = Json::UInt64(reply.nonce);
  json["verdict"] = static_cast<int>(reply.status);
  json["n"] = Json::Int64(reply.tokens);
  json["life_us"] = Json::Int64(reply.lifetime.count());
  json["retry_us"] = Json::Int64(reply.retry_after.count());
  return json;
}

BorrowReply BorrowReplyFromJson(const Json::Value& json) {
  const int verdict = json["verdict"].asInt();
  const bool is_known = verdict >= 0 && verdict <= 2;
  return {
      json["nonce"].asUInt64(),
      is_known ? static_cast<BorrowStatus>(verdict) : BorrowStatus::kNotOwner,
      json["n"].asInt64(), Duration(json["life_us"].asInt64()),
      Duration(json["retry_us"].asInt64())};
}

Json::Value ToJson(const HandoverPart& part) {
  Json::Value json;
  json["from"] = part.sender;
  json["inc"] = part.incarnation;
  json["last_view"] = Json::UInt64(part.last_view);
  json["entitled_view"] = Json::UInt64(part.takeover_view);
  json["entitled_us"] = Json::Int64(part.takeover_age.count());
  json["index"] = Json::UInt64(part.index);
  json["count"] = Json::UInt64(part.count);
  json["levels"] = Json::objectValue;
  for (const auto& [shard_key, level] : part.levels) {
    json["levels"][shard_key] = level;
  }
  return json;
}

HandoverPart HandoverPartFromJson(const Json::Value& json) {
  HandoverPart part{json["from"].asString(),
                    json["inc"].asString(),
                    json["last_view"].asUInt64(),
                    json["entitled_view"].asUInt64(),
                    Duration(json["entitled_us"].asInt64()),
                    json["index"].asUInt64(),
                    json["count"].asUInt64(),
                    {}};
  const Json::Value& levels = json["levels"];
  for (const std::string& shard_key : levels.getMemberNames()) {
    part.levels[shard_key] = levels[shard_key].asDouble();
  }
  return part;
}

}  // namespace parsleyquay
