#include "platform/platform_client.h"

#include "fleet/record_codec.h"

namespace parsleyquay {

namespace {

constexpr Duration kPlatformTimeout = milliseconds(1'500);

LogPage PageFromJson(const Json::Value& json) {
  LogPage page;
  page.first_offset = json["first"].asUInt64();
  page.next_offset = json["next"].asUInt64();
  for (const Json::Value& item : json["records"]) {
    page.entries.push_back({item["offset"].asUInt64(),
                            item["time_ms"].asInt64(),
                            item["data"].asString()});
  }
  return page;
}

std::vector<ListedServer> ServersFromJson(const Json::Value& json) {
  std::vector<ListedServer> servers;
  for (const Json::Value& item : json["instances"]) {
    servers.push_back({item["name"].asString(), item["service"].asString(),
                       item["address"].asString(), item["domain"].asString(),
                       item["state"].asString() == "leaving"
                           ? InstanceState::kLeaving
                           : InstanceState::kLive,
                       item["slots"].asInt64()});
  }
  return servers;
}

template <typename T>
std::optional<T> ParseWith(const std::string& text,
                           T (*convert)(const Json::Value&)) {
  const std::optional<Json::Value> json = ParseJson(text);
  if (!json || !json->isObject()) {
    return std::nullopt;
  }
  try {
    return convert(*json);
  } catch (const Json::Exception&) {
    // NOTE: jsoncpp reports a field of the wrong type only by exception.
    return std::nullopt;
  }
}

}  // namespace

std::optional<LogPage> ParseLogPage(const std::string& text) {
  return ParseWith(text, &PageFromJson);
}

std::optional<std::vector<ListedServer>> ParseServerList(
    const std::string& text) {
  return ParseWith(text, &ServersFromJson);
}

std::string EncodeLogPage(const LogPage& page) {
  Json::Value json;
  json["first"] = Json::UInt64(page.first_offset);
  json["next"] = Json::UInt64(page.next_offset);
  json["records"] = Json::arrayValue;
  for (const LogEntry& entry : page.entries) {
    Json::Value item;
    item["offset"] = Json::UInt64(entry.offset);
    item["time_ms"] = Json::Int64(entry.time_ms);
    item["data"] = entry.text;
    json["records"].append(item);
  }
  return ToCompactText(json);
}

PlatformClient::PlatformClient(HttpClient& http, std::string address)
    : http(http), address(std::move(address)) {}

void PlatformClient::ReadLog(
    std::uint64_t from,
    std::function<void(std::optional<LogPage>)> on_page) {
  CallRequest request;
  request.address = this->address;
  request.target = "/log?from=" + std::to_string(from);
  request.total_timeout = kPlatformTimeout;
  this->http.Fetch(
      request, "",
      [on_page = std::move(on_page)](const BufferedResponse& response) {
        on_page(response.is_ok() ? ParseLogPage(response.body) : std::nullopt);
      });
}

void PlatformClient::Append(const Record& record,
                            std::function<void(AppendOutcome)> on_outcome) {
  CallRequest request;
  request.method = "POST";
  request.address = this->address;
  request.target = "/log";
  request.connection_use = ConnectionUse::kFresh;
  request.total_timeout = kPlatformTimeout;
  this->http.Fetch(
      request, EncodeRecord(record),
      [on_outcome = std::move(on_outcome)](const BufferedResponse& response) {
        if (response.is_ok()) {
          on_outcome(AppendOutcome::kAppended);
          return;
        }
        const bool was_refused =
            response.result.outcome == CallOutcome::kNeverSent ||
            response.status == 503;
        on_outcome(was_refused ? AppendOutcome::kNotAppended
                               : AppendOutcome::kUnknown);
      });
}

void PlatformClient::ReadServers(
    std::function<void(std::optional<std::vector<ListedServer>>)> on_list) {
  CallRequest request;
  request.address = this->address;
  request.target = "/instances";
  request.total_timeout = kPlatformTimeout;
  this->http.Fetch(
      request, "",
      [on_list = std::move(on_list)](const BufferedResponse& response) {
        on_list(response.is_ok() ? ParseServerList(response.body)
                                 : std::nullopt);
      });
}

}  // namespace parsleyquay
