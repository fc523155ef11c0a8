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
SimpleAnswer Resolve(CommandContext& context) {
  SimpleAnswer answer;
  for (const std::string& entry : context.entries) {
    CallRequest request;
    request.address = entry;
    request.target = "/.parsleyquay/resolve";
    request.headers = KeyHeaders(context);
    answer = context.http.Fetch(request);
    if (answer.is_ok()) {
      break;
    }
  }
  return answer;
}

void PrintFailure(const SimpleAnswer& answer) {
  std::cerr << (answer.status == 0 ? answer.result.detail
                                   : "status " + std::to_string(answer.status))
            << '\n'
            << answer.body;
}

// Returns whether the request was certainly not run and may be sent to another
// address.
bool MayTryNextAddress(const SimpleAnswer& answer) {
  if (answer.result.outcome == CallOutcome::kNeverSent) {
    return true;
  }
  const auto json = ParseJson(answer.body);
  return answer.status == 503 && json && json->isObject() &&
         (*json)["outcome"].asString() == "not_run" &&
         (*json)["repeat"].asBool();
}

}  // namespace

int RunResolve(CommandContext& context, const Arguments&) {
  const SimpleAnswer answer = Resolve(context);
  if (!answer.is_ok()) {
    PrintFailure(answer);
    return answer.status == 0 ? kExitUnknown : kExitRefused;
  }
  if (context.prints_json) {
    std::cout << answer.body;
    return kExitDone;
  }
  const auto json = ParseJson(answer.body);
  for (const Json::Value& address : (*json)["addresses"]) {
    std::cout << address.asString() << '\n';
  }
  return kExitDone;
}

int RunRequest(CommandContext& context, const Arguments& arguments) {
  if (arguments.size() != 2) {
    return FailUsage("a method and a path");
  }
  const SimpleAnswer resolved = Resolve(context);
  const auto json = ParseJson(resolved.body);
  if (!resolved.is_ok() || !json) {
    PrintFailure(resolved);
    return resolved.status == 0 ? kExitUnknown : kExitRefused;
  }
  SimpleAnswer answer;
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
    answer = context.http.Fetch(request, context.body);
    if (!MayTryNextAddress(answer)) {
      break;
    }
  }
  if (answer.result.outcome != CallOutcome::kComplete) {
    std::cerr << "outcome unknown: " << answer.result.detail << '\n';
    return kExitUnknown;
  }
  std::cout << answer.body;
  const bool is_success = answer.status >= 200 && answer.status < 300;
  if (!is_success) {
    std::cerr << "status " << answer.status << '\n';
  }
  return is_success ? kExitDone : kExitRefused;
}

}  // namespace parsleyquay
