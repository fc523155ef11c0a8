#include "detection/evidence_message.h"

namespace parsleyquay {

namespace {

Json::Value ToJson(const ServerEvidence& evidence) {
  Json::Value json = Json::arrayValue;
  json.append(Json::Int64(evidence.answered));
  json.append(Json::Int64(evidence.errors));
  json.append(Json::Int64(evidence.on_time));
  json.append(Json::Int64(evidence.slow_marks));
  json.append(Json::Int64(evidence.slow_requests));
  json.append(Json::Int64(evidence.latency.count()));
  json.append(evidence.has_restarted ? 1 : 0);
  return json;
}

ServerEvidence ServerEvidenceFromJson(const Json::Value& json) {
  return {json[0].asInt64(),     json[1].asInt64(), json[2].asInt64(),
          json[3].asInt64(),     json[4].asInt64(), Duration(json[5].asInt64()),
          json[6].asInt64() != 0};
}

Json::Value ToJson(const ServerVerdict& verdict) {
  Json::Value json = Json::arrayValue;
  json.append(static_cast<int>(verdict.mode));
  json.append(Json::Int64(verdict.max_instances));
  for (const std::string& instance : verdict.permitted_instances) {
    json.append(instance);
  }
  return json;
}

ServerVerdict ServerVerdictFromJson(const Json::Value& json) {
  const int mode = json[0].asInt();
  const bool is_known = mode >= 0 && mode <= 2;
  ServerVerdict verdict{
      is_known ? static_cast<ServerMode>(mode) : ServerMode::kActive,
      json[1].asInt64(),
      {}};
  for (Json::ArrayIndex i = 2; i < json.size(); ++i) {
    verdict.permitted_instances.push_back(json[i].asString());
  }
  return verdict;
}

}  // namespace

Json::Value ToJson(const EvidenceReport& report) {
  Json::Value json;
  json["from"] = report.sender;
  json["peer"] = report.reply_address;
  json["service"] = report.service;
  json["servers"] = Json::objectValue;
  for (const auto& [name, evidence] : report.evidence) {
    json["servers"][name] = ToJson(evidence);
  }
  if (report.held_verdict) {
    json["held"].append(Json::UInt64(report.held_verdict->digest));
    json["held"].append(
        Json::Int64(report.held_verdict->slow_threshold.count()));
  }
  return json;
}

EvidenceReport EvidenceReportFromJson(const Json::Value& json) {
  EvidenceReport report{json["from"].asString(),
                        json["peer"].asString(),
                        json["service"].asString(),
                        {},
                        {}};
  const Json::Value& servers = json["servers"];
  for (const std::string& name : servers.getMemberNames()) {
    report.evidence[name] = ServerEvidenceFromJson(servers[name]);
  }
  if (json["held"].size() == 2) {
    report.held_verdict = {json["held"][0].asUInt64(),
                           Duration(json["held"][1].asInt64())};
  }
  return report;
}

Json::Value ToJson(const VerdictNotice& notice) {
  Json::Value json;
  json["service"] = notice.service;
  json["view"] = Json::UInt64(notice.view_version);
  json["seq"] = Json::UInt64(notice.sequence);
  json["slow_us"] = Json::Int64(notice.verdict.slow_threshold.count());
  json["servers"] = Json::objectValue;
  for (const auto& [name, verdict] : notice.verdict.servers) {
    json["servers"][name] = ToJson(verdict);
  }
  return json;
}

VerdictNotice VerdictNoticeFromJson(const Json::Value& json) {
  VerdictNotice notice;
  notice.service = json["service"].asString();
  notice.view_version = json["view"].asUInt64();
  notice.sequence = json["seq"].asUInt64();
  notice.verdict.slow_threshold = Duration(json["slow_us"].asInt64());
  const Json::Value& servers = json["servers"];
  for (const std::string& name : servers.getMemberNames()) {
    notice.verdict.servers[name] = ServerVerdictFromJson(servers[name]);
  }
  return notice;
}

}  // namespace parsleyquay
