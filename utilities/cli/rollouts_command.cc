#include <json/json.h>

#include <iomanip>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>

#include "commands.h"

namespace parsleyquay {

namespace {

constexpr double kMillisecondsPerSecond = 1'000;
constexpr double kPercent = 100;

std::optional<Json::Value> ParseArray(const std::string& text) {
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value value;
  const bool is_parsed =
      reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
  return is_parsed && value.isArray() ? std::optional(value) : std::nullopt;
}

std::string Describe(const Json::Value& rollout) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << rollout["service"].asString()
       << " to " << rollout["to_version"].asString() << ": "
       << rollout["phase"].asString();
  if (rollout.isMember("share")) {
    text << ", share " << rollout["share"].asDouble() * kPercent << " %, "
         << rollout["elapsed_ms"].asDouble() / kMillisecondsPerSecond << " of "
         << rollout["duration_ms"].asDouble() / kMillisecondsPerSecond << " s, "
         << rollout["exposed"].asInt64() << " of "
         << rollout["requests"].asInt64() << " requests, driver "
         << rollout["driver"].asString()
         << ", reason: " << rollout["reason"].asString();
  }
  return text.str();
}

}  // namespace

int RunRollouts(CommandContext& context, const Arguments& arguments) {
  if (arguments.size() > 1) {
    return ReportUsageError("rollouts [SERVICE]");
  }
  int exit_code = kExitUnknown;
  for (const std::string& address : context.instance_addresses) {
    const BufferedResponse response = context.http.Get(address, "/rollouts");
    const auto rollouts =
        response.is_ok() ? ParseArray(response.body) : std::nullopt;
    if (!rollouts) {
      std::cerr << address << ": no list of rollouts\n";
      continue;
    }
    exit_code = kExitSuccess;
    for (const Json::Value& rollout : *rollouts) {
      if (!arguments.empty() && rollout["service"] != arguments.front()) {
        continue;
      }
      if (context.prints_json) {
        std::cout << rollout.toStyledString();
      } else {
        std::cout << address << ": " << Describe(rollout) << '\n';
      }
    }
  }
  return exit_code;
}

}  // namespace parsleyquay
