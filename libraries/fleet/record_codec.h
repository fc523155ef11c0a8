#ifndef PARSLEYQUAY_FLEET_RECORD_CODEC_H_
#define PARSLEYQUAY_FLEET_RECORD_CODEC_H_

#include <json/json.h>

#include <optional>
#include <string>

#include "fleet/record.h"

namespace parsleyquay {

// Returns the record as JSON text on one line.
std::string EncodeRecord(const Record& record);

// Parses a record. Returns std::nullopt if the text is not a record of a known
// type. Unknown fields are ignored.
std::optional<Record> DecodeRecord(const std::string& text);

Json::Value ToJson(const SectionChange& change);
SectionChange SectionChangeFromJson(const Json::Value& json);
Json::Value ToJson(const Member& member);
Member MemberFromJson(const Json::Value& json);

// Returns a JSON value as ASCII text without white space.
std::string ToCompactText(const Json::Value& json);

// Parses JSON text. Returns std::nullopt if it is malformed.
std::optional<Json::Value> ParseJson(const std::string& text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_FLEET_RECORD_CODEC_H_
