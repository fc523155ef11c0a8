#include <algorithm>
#include <iostream>

#include "commands.h"
#include "fleet/record_codec.h"

namespace parsleyquay {

namespace {

constexpr Duration kRequestTimeout = seconds(60);

HeaderList KeyHeaders(const CommandContext& context) {
  if (context.key.empty()) {
    return {};
  }
  return {{"Authorization", "Bearer " + context.key}};
}

// Asks the instances one after another for the addresses that the caller should
// use. Returns the first successful response, otherwise the last one.
BufferedResponse Resolve(CommandContext& context) {
  BufferedResponse response;
  for (const std::string& entry : context.instance_addresses) {
    CallRequest request;
    request.address = entry;
    request.target = "/.parsleyquay/resolve";
    request.headers = KeyHeaders(context);
    response = context.http.Fetch(request);
    if (response.is_ok()) {
      break;
    }
  }
  return response;
}

void PrintFailure(const BufferedResponse& response) {
  std::cerr << (response.status == 0
                    ? response.result.detail
                    : "status " + std::to_string(response.status))
            << '\n'
            << response.body;
}

// Returns whether the request was certainly not run and may be sent to another
// address.
bool MayTryNextAddress(const BufferedResponse& response) {
  if (response.result.outcome == CallOutcome::kNeverSent) {
    return true;
  }
  const auto json = ParseJson(response.body);
  return response.status == 503 && json && json->isObject() &&
         (*json)["outcome"].asString() == "not_run" &&
         (*json)["repeat"].asBool();
}

}  // namespace

int RunResolve(CommandContext& context, const Arguments&) {
  const BufferedResponse response = Resolve(context);
  if (!response.is_ok()) {
    PrintFailure(response);
    return response.status == 0 ? kExitUnknown : kExitRefused;
  }
  if (context.prints_json) {
    std::cout << response.body;
    return kExitSuccess;
  }
  const auto json = ParseJson(response.body);
  for (const Json::Value& address : (*json)["addresses"]) {
    std::cout << address.asString() << '\n';
  }
  return kExitSuccess;
}

int RunRequest(CommandContext& context, const Arguments& arguments) {
  if (arguments.size() != 2) {
    return ReportUsageError("a method and a path");
  }
  const BufferedResponse resolved = Resolve(context);
  const auto json = ParseJson(resolved.body);
  if (!resolved.is_ok() || !json) {
    PrintFailure(resolved);
    return resolved.status == 0 ? kExitUnknown : kExitRefused;
  }
  BufferedResponse response;
  for (const Json::Value& address : (*json)["addresses"]) {
    CallRequest request;
    request.method = arguments[0];
    request.address = address.asString();
    request.target = arguments[1];
    request.headers = KeyHeaders(context);
    request.connection_use = ConnectionUse::kFresh;
    request.total_timeout = kRequestTimeout;
    if (!context.idempotency_key.empty()) {
      request.headers.push_back({"Idempotency-Key", context.idempotency_key});
    }
    response = context.http.Fetch(request, context.body);
    if (!MayTryNextAddress(response)) {
      break;
    }
  }
  if (response.result.outcome != CallOutcome::kComplete) {
    std::cerr << "outcome unknown: " << response.result.detail << '\n';
    return kExitUnknown;
  }
  std::cout << response.body;
  const bool is_success = response.status >= 200 && response.status < 300;
  if (!is_success) {
    std::cerr << "status " << response.status << '\n';
  }
  return is_success ? kExitSuccess : kExitRefused;
}

}  // namespace parsleyquay
