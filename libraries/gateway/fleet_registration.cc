#include "gateway/fleet_registration.h"

#include <utility>

#include "base/random_id.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kRetryDelay = milliseconds(700);
constexpr std::size_t kSecretBytes = 32;

}  // namespace

MemberRecord MakeOwnMemberRecord(const GatewayContext& context) {
  const GatewaySettings& settings = context.settings;
  return {.name = settings.name,
          .failure_domain = settings.failure_domain,
          .request_address = settings.request_address,
          .peer_address = settings.peer_address,
          .incarnation = context.incarnation,
          .capacity = settings.capacity};
}

FleetRegistration::FleetRegistration(GatewayContext& context,
                                     std::vector<std::string> methods,
                                     Handlers handlers)
    : context(context),
      methods(std::move(methods)),
      handlers(std::move(handlers)),
      retry_timer(context.loop, [this] { this->Join(); }) {}

void FleetRegistration::Join() {
  if (this->context.peer_transport) {
    this->PublishRecord();
    return;
  }
  this->GetOrCreateSecret();
}

void FleetRegistration::Leave(std::function<void()> on_done) {
  this->context.coordination.publish_member(
      {this->context.settings.name, std::nullopt},
      [on_done = std::move(on_done)](PublishOutcome) { on_done(); });
}

void FleetRegistration::GetOrCreateSecret() {
  this->context.coordination.get_or_create_secret(
      RandomHex(kSecretBytes), [this](std::optional<std::string> secret) {
        if (!secret) {
          this->retry_timer.StartOnce(kRetryDelay);
          return;
        }
        this->Open(*secret);
        this->PublishRecord();
      });
}

void FleetRegistration::Open(const std::string& secret) {
  const bool has_opened = RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(
            this->context.peer_transport,
            PeerTransport::Create(this->context.loop,
                                  this->context.settings.peer_address, secret,
                                  this->methods, this->handlers.on_message));
        return {};
      },
      [](const Error& error) { LogError("peers_unavailable", error); });
  if (has_opened) {
    LogEvent(LogLevel::kInfo, "peers_ready",
             {{"address", this->context.settings.peer_address}});
    this->handlers.on_open();
  }
}

void FleetRegistration::PublishRecord() {
  this->context.coordination.publish_member(
      {this->context.settings.name, MakeOwnMemberRecord(this->context)},
      [this](PublishOutcome outcome) {
        if (outcome != PublishOutcome::kDone && !this->context.is_leaving) {
          this->retry_timer.StartOnce(kRetryDelay);
        }
      });
}

}  // namespace parsleyquay
