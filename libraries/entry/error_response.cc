#include "entry/error_response.h"

#include <json/json.h>

#include "fleet/record_codec.h"

namespace parsleyquay {

namespace {

const char* OutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kNotExecuted:
      return "not_run";
    case RequestOutcome::kUnknown:
      return "unknown";
    case RequestOutcome::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace

std::string RenderErrorBody(const ErrorResponse& error_response) {
  Json::Value json;
  json["outcome"] = OutcomeName(error_response.outcome);
  json["reason"] = error_response.reason;
  json["repeat"] = error_response.is_retryable;
  json["request_id"] = error_response.request_id;
  if (error_response.retry_after) {
    json["retry_after_ms"] =
        Json::Int64(ToMilliseconds(*error_response.retry_after));
  }
  if (!error_response.outcome_path.empty()) {
    json["ask"] = error_response.outcome_path;
  }
  for (const std::string& address : error_response.alternative_addresses) {
    json["addresses"].append(address);
  }
  return ToCompactText(json) + "\n";
}

}  // namespace parsleyquay
