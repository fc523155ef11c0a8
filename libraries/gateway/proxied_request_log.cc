// The part of ProxiedRequest that logs and counts its attempts.

#include "gateway/proxied_request.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

std::string ConnectionName(const std::optional<CallConnection>& connection) {
  if (!connection) {
    return "none";
  }
  return connection->is_reused ? "reused" : "new";
}

}  // namespace

void ProxiedRequest::LogAttempt(std::string_view outcome) const {
  const ServerReservation& reservation = this->attempt.reservation;
  const Duration elapsed = this->context.Now() - reservation.acquired_at;
  const std::string connection = ConnectionName(this->attempt.connection);
  std::vector<LogField> fields = {
      {"request", this->request_id},
      {"server", reservation.server},
      {"outcome", std::string(outcome)},
      {"status", std::to_string(this->attempt.status)},
      {"elapsed_ms", std::to_string(ToMilliseconds(elapsed))},
      {"failure_percent",
       std::to_string(static_cast<int>(reservation.failure_probability * 100))},
      {"load", std::to_string(static_cast<int>(reservation.load))},
      {"repeatable", this->route().is_idempotent ? "yes" : "no"},
      {"connection", connection}};
  if (!this->attempt.failure_reason.empty()) {
    fields.push_back({"reason", this->attempt.failure_reason});
  }
  LogEvent(LogLevel::kInfo, "attempt", fields);
  IncrementCounter(this->context.metrics,
                   "attempts{outcome=\"" + std::string(outcome) +
                       "\",connection=\"" + connection + "\"}");
}

}  // namespace parsleyquay
