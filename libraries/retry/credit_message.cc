#include "retry/credit_message.h"

#include <charconv>
#include <cmath>

namespace parsleyquay {

namespace {

Json::Value EncodeTime(TimePoint time) {
  return Json::Int64(time.time_since_epoch().count());
}

std::optional<TimePoint> DecodeTime(const Json::Value& json) {
  return json.isInt64() ? std::optional(TimePoint(Duration(json.asInt64())))
                        : std::nullopt;
}

Json::Value EncodeNeed(const RetryNeed& need) {
  Json::Value json(Json::objectValue);
  for (const auto& [priority, count] : need) {
    json[std::to_string(priority)] = Json::Int64(count);
  }
  return json;
}

std::optional<RetryNeed> DecodeNeed(const Json::Value& json) {
  if (!json.isObject() && !json.isNull()) {
    return std::nullopt;
  }
  RetryNeed need;
  for (const std::string& name : json.getMemberNames()) {
    int priority = 0;
    const char* const end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data(), end, priority);
    if (parsed.ec != std::errc() || parsed.ptr != end ||
        !json[name].isInt64() || json[name].asInt64() < 0) {
      return std::nullopt;
    }
    need[priority] = static_cast<long>(json[name].asInt64());
  }
  return need;
}

Json::Value EncodeCredit(const RetryCredit& credit) {
  Json::Value rows(Json::arrayValue);
  for (const auto& [expires_at, amount] : credit.lots) {
    Json::Value row(Json::arrayValue);
    row.append(EncodeTime(expires_at));
    row.append(amount);
    rows.append(std::move(row));
  }
  return rows;
}

std::optional<RetryCredit> DecodeCredit(const Json::Value& rows) {
  if (!rows.isArray() && !rows.isNull()) {
    return std::nullopt;
  }
  RetryCredit credit;
  for (const Json::Value& row : rows) {
    if (!row.isArray() || row.size() != 2 || !row[1].isNumeric()) {
      return std::nullopt;
    }
    const auto expires_at = DecodeTime(row[0]);
    const double amount = row[1].asDouble();
    if (!expires_at || !std::isfinite(amount) || amount < 0) {
      return std::nullopt;
    }
    credit.lots[*expires_at] += amount;
  }
  return credit;
}

}  // namespace

Json::Value EncodeCreditMessage(const CreditMessage& message) {
  Json::Value parameters;
  parameters["f"] = message.sender;
  parameters["i"] = message.sender_incarnation;
  parameters["n"] = Json::UInt64(message.sequence);
  parameters["c"] = EncodeTime(message.sender_clock);
  parameters["t"] = message.receiver_incarnation;
  parameters["g"] = message.is_grant;
  for (const auto& [service, part] : message.services) {
    Json::Value& json = parameters["s"][service];
    json["l"] = EncodeCredit(part.credit);
    json["n"] = EncodeNeed(part.need);
  }
  return parameters;
}

std::optional<CreditMessage> DecodeCreditMessage(
    const Json::Value& parameters) {
  const auto clock = DecodeTime(parameters["c"]);
  const Json::Value& services = parameters["s"];
  if (!parameters["f"].isString() || !parameters["i"].isString() ||
      !parameters["n"].isUInt64() || !clock || !parameters["t"].isString() ||
      !parameters["g"].isBool() ||
      (!services.isObject() && !services.isNull())) {
    return std::nullopt;
  }
  CreditMessage message{.sender = parameters["f"].asString(),
                        .sender_incarnation = parameters["i"].asString(),
                        .sequence = parameters["n"].asUInt64(),
                        .sender_clock = *clock,
                        .receiver_incarnation = parameters["t"].asString(),
                        .is_grant = parameters["g"].asBool()};
  for (const std::string& service : services.getMemberNames()) {
    if (!services[service].isObject()) {
      return std::nullopt;
    }
    auto credit = DecodeCredit(services[service]["l"]);
    auto need = DecodeNeed(services[service]["n"]);
    if (!credit || !need) {
      return std::nullopt;
    }
    message.services[service] = {std::move(*credit), std::move(*need)};
  }
  return message;
}

Json::Value EncodeCreditNews(const CreditNews& news) {
  Json::Value json;
  json["i"] = news.incarnation;
  json["c"] = EncodeTime(news.clock);
  for (const auto& [service, need] : news.open_needs) {
    json["n"][service] = EncodeNeed(need);
  }
  for (const std::string& service : news.needed_services) {
    json["w"].append(service);
  }
  return json;
}

std::optional<CreditNews> DecodeCreditNews(const Json::Value& json) {
  if (!json.isObject()) {
    return std::nullopt;
  }
  const auto clock = DecodeTime(json["c"]);
  const Json::Value& needs = json["n"];
  const Json::Value& needed = json["w"];
  if (!json["i"].isString() || !clock ||
      (!needs.isObject() && !needs.isNull()) ||
      (!needed.isArray() && !needed.isNull())) {
    return std::nullopt;
  }
  CreditNews news{.incarnation = json["i"].asString(), .clock = *clock};
  for (const std::string& service : needs.getMemberNames()) {
    auto need = DecodeNeed(needs[service]);
    if (!need) {
      return std::nullopt;
    }
    news.open_needs[service] = std::move(*need);
  }
  for (const Json::Value& service : needed) {
    if (!service.isString()) {
      return std::nullopt;
    }
    news.needed_services.insert(service.asString());
  }
  return news;
}

}  // namespace parsleyquay
