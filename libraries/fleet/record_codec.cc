#include "fleet/record_codec.h"

#include <memory>

namespace parsleyquay {

namespace {

Json::Value BodyToJson(const DeclarationChange& body) {
  Json::Value json;
  json["type"] = "declaration";
  json["base"] = Json::UInt64(body.base);
  json["changes"] = Json::arrayValue;
  for (const SectionChange& change : body.changes) {
    json["changes"].append(ToJson(change));
  }
  return json;
}

Json::Value BodyToJson(const KeyIssuance& body) {
  Json::Value json;
  json["type"] = "key-issue";
  json["key"] = body.key_id;
  json["digest"] = body.digest;
  json["workspace"] = body.workspace;
  return json;
}

Json::Value BodyToJson(const KeyRevocation& body) {
  Json::Value json;
  json["type"] = "key-withdrawal";
  json["key"] = body.key_id;
  return json;
}

Json::Value BodyToJson(const DomainChange& body) {
  Json::Value json;
  json["type"] = "domain";
  json["base"] = Json::UInt64(body.base);
  json["domain"] = body.failure_domain;
  json["withdrawn"] = body.availability == DomainAvailability::kWithdrawn;
  return json;
}

Json::Value BodyToJson(const MemberJoin& body) {
  Json::Value json;
  json["type"] = "join";
  json["member"] = ToJson(body.member);
  if (!body.former_incarnation.empty()) {
    json["former"] = body.former_incarnation;
  }
  return json;
}

Json::Value BodyToJson(const MemberDeparture& body) {
  Json::Value json;
  json["type"] = "departure";
  json["name"] = body.name;
  json["incarnation"] = body.incarnation;
  json["reason"] = static_cast<int>(body.reason);
  return json;
}

Json::Value BodyToJson(const SnapshotPart& body) {
  Json::Value json;
  json["type"] = "snapshot";
  json["snapshot"] = body.snapshot_id;
  json["state_offset"] = Json::UInt64(body.state_offset);
  json["index"] = Json::UInt64(body.index);
  json["count"] = Json::UInt64(body.count);
  json["text"] = body.text;
  if (body.kind == SnapshotKind::kBridge) {
    json["bridge"] = true;
  }
  return json;
}

DeclarationChange DeclarationChangeFromJson(const Json::Value& json) {
  DeclarationChange body;
  body.base = json["base"].asUInt64();
  for (const Json::Value& change : json["changes"]) {
    body.changes.push_back(SectionChangeFromJson(change));
  }
  return body;
}

MemberDeparture DepartureFromJson(const Json::Value& json) {
  const int reason = json["reason"].asInt();
  const bool is_known = reason >= 0 && reason <= 2;
  return {json["name"].asString(), json["incarnation"].asString(),
          is_known ? static_cast<DepartureReason>(reason)
                   : DepartureReason::kUnresponsive};
}

std::optional<RecordBody> BodyFromJson(const Json::Value& json) {
  const std::string type = json["type"].asString();
  if (type == "declaration") {
    return DeclarationChangeFromJson(json);
  }
  if (type == "key-issue") {
    return KeyIssuance{json["key"].asString(), json["digest"].asString(),
                       json["workspace"].asString()};
  }
  if (type == "key-withdrawal") {
    return KeyRevocation{json["key"].asString()};
  }
  if (type == "domain") {
    return DomainChange{json["base"].asUInt64(), json["domain"].asString(),
                        json["withdrawn"].asBool()
                            ? DomainAvailability::kWithdrawn
                            : DomainAvailability::kInService};
  }
  if (type == "join") {
    return MemberJoin{MemberFromJson(json["member"]),
                      json["former"].asString()};
  }
  if (type == "departure") {
    return DepartureFromJson(json);
  }
  if (type == "snapshot") {
    return SnapshotPart{json["snapshot"].asString(),
                        json["state_offset"].asUInt64(),
                        json["index"].asUInt64(),
                        json["count"].asUInt64(),
                        json["text"].asString(),
                        json["bridge"].asBool() ? SnapshotKind::kBridge
                                                : SnapshotKind::kRegular};
  }
  return std::nullopt;
}

}  // namespace

std::string ToCompactText(const Json::Value& json) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, json);
}

std::optional<Json::Value> ParseJson(const std::string& text) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value json;
  std::string errors;
  const bool is_json =
      reader->parse(text.data(), text.data() + text.size(), &json, &errors);
  return is_json ? std::optional(json) : std::nullopt;
}

Json::Value ToJson(const SectionChange& change) {
  Json::Value json;
  json["name"] = change.name;
  json["entries"] = Json::arrayValue;
  for (const IniEntry& entry : change.entries) {
    json["entries"].append(entry.key);
    json["entries"].append(entry.value);
  }
  return json;
}

SectionChange SectionChangeFromJson(const Json::Value& json) {
  SectionChange change;
  change.name = json["name"].asString();
  const Json::Value& entries = json["entries"];
  for (Json::ArrayIndex i = 0; i + 1 < entries.size(); i += 2) {
    change.entries.push_back(
        {entries[i].asString(), entries[i + 1].asString(), 0});
  }
  return change;
}

Json::Value ToJson(const Member& member) {
  Json::Value json;
  json["name"] = member.name;
  json["incarnation"] = member.incarnation;
  json["http"] = member.http_address;
  json["peer"] = member.peer_address;
  json["domain"] = member.failure_domain;
  return json;
}

Member MemberFromJson(const Json::Value& json) {
  return {json["name"].asString(), json["incarnation"].asString(),
          json["http"].asString(), json["peer"].asString(),
          json["domain"].asString()};
}

std::string EncodeRecord(const Record& record) {
  Json::Value json = std::visit(
      [](const auto& body) { return BodyToJson(body); }, record.body);
  json["id"] = record.id;
  json["author"] = record.author;
  return ToCompactText(json);
}

std::optional<Record> DecodeRecord(const std::string& text) {
  const std::optional<Json::Value> json = ParseJson(text);
  if (!json || !json->isObject()) {
    return std::nullopt;
  }
  try {
    std::optional<RecordBody> body = BodyFromJson(*json);
    if (!body) {
      return std::nullopt;
    }
    return Record{(*json)["id"].asString(), (*json)["author"].asString(),
                  std::move(*body)};
  } catch (const Json::Exception&) {
    // NOTE: jsoncpp reports a field of the wrong type only by exception.
    return std::nullopt;
  }
}

}  // namespace parsleyquay
