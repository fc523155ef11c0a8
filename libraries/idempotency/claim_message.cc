#include "idempotency/claim_message.h"

#include <sodium.h>

#include <vector>

namespace parsleyquay {

namespace {

constexpr int kActionCount = 4;
constexpr int kStatusCount = 5;
constexpr int kStateCount = 3;

// Reads an enumerator; what is unknown becomes the fallback.
template <typename T>
T EnumFromJson(const Json::Value& json, int count, T fallback) {
  const int value = json.asInt();
  return value >= 0 && value < count ? static_cast<T>(value) : fallback;
}

// Bodies may be binary, which JSON text cannot carry.
std::string ToBase64(const std::string& bytes) {
  constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
  std::string text(sodium_base64_encoded_len(bytes.size(), kVariant), '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kVariant);
  text.pop_back();
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  std::size_t size = 0;
  const int failure = sodium_base642bin(
      reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
      text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
  bytes.resize(failure ? 0 : size);
  return bytes;
}

Json::Value ToJson(const Claim& claim) {
  Json::Value json;
  json["request"] = claim.request_id;
  json["state"] = static_cast<int>(claim.state);
  if (claim.state == ClaimState::kDone) {
    json["status"] = claim.response.status;
    json["content"] = claim.response.content_type;
    json["kept"] = claim.response.is_body_stored;
    json["body"] = ToBase64(claim.response.body);
  }
  return json;
}

Claim ClaimFromJson(const Json::Value& json) {
  Claim claim;
  claim.request_id = json["request"].asString();
  claim.state = EnumFromJson(json["state"], kStateCount, ClaimState::kUnknown);
  claim.response.status = json["status"].asInt();
  claim.response.content_type = json["content"].asString();
  claim.response.is_body_stored = json["kept"].asBool();
  claim.response.body = FromBase64(json["body"].asString());
  return claim;
}

}  // namespace

Json::Value ToJson(const ClaimRequest& request) {
  Json::Value json;
  json["peer"] = request.reply_address;
  json["nonce"] = Json::UInt64(request.nonce);
  json["action"] = static_cast<int>(request.action);
  json["key"] = request.key_digest;
  json["view"] = Json::UInt64(request.view_version);
  json["claim"] = ToJson(request.outcome);
  return json;
}

ClaimRequest ClaimRequestFromJson(const Json::Value& json) {
  return {json["peer"].asString(),
          json["nonce"].asUInt64(),
          EnumFromJson(json["action"], kActionCount, ClaimAction::kLookUp),
          json["key"].asString(),
          json["view"].asUInt64(),
          ClaimFromJson(json["claim"])};
}

Json::Value ToJson(const ClaimReply& reply) {
  Json::Value json;
  json["nonce"] = Json::UInt64(reply.nonce);
  json["from"] = reply.sender;
  json["answer"] = static_cast<int>(reply.status);
  json["claim"] = ToJson(reply.existing);
  return json;
}

ClaimReply ClaimReplyFromJson(const Json::Value& json) {
  return {
      json["nonce"].asUInt64(), json["from"].asString(),
      EnumFromJson(json["answer"], kStatusCount, ClaimReplyStatus::kRejected),
      ClaimFromJson(json["claim"])};
}

}  // namespace parsleyquay
