#include "gateway/fleet_link.h"

#include <utility>

#include "base/random_id.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kRetryDelay = milliseconds(700);
constexpr std::size_t kSecretBytes = 32;

}  // namespace

MemberRecord DescribeOwnInstance(const GatewayContext& context) {
  const GatewaySettings& settings = context.settings;
  return {.name = settings.name,
          .failure_domain = settings.failure_domain,
          .request_address = settings.request_address,
          .peer_address = settings.peer_address,
          .incarnation = context.incarnation,
          .capacity = settings.capacity};
}

FleetLink::FleetLink(GatewayContext& context,
                     std::vector<std::string> methods,
                     Handlers handlers)
    : context(context),
      methods(std::move(methods)),
      handlers(std::move(handlers)),
      retry_timer(context.loop, [this] { this->Join(); }) {}

void FleetLink::Join() {
  if (this->context.peers) {
    this->PublishRecord();
    return;
  }
  this->AgreeOnSecret();
}

void FleetLink::Leave(std::function<void()> on_done) {
  this->context.port.publish_member(
      {this->context.settings.name, std::nullopt},
      [on_done = std::move(on_done)](PublishOutcome) { on_done(); });
}

void FleetLink::AgreeOnSecret() {
  this->context.port.agree_on_secret(
      RandomHex(kSecretBytes), [this](std::optional<std::string> secret) {
        if (!secret) {
          this->retry_timer.StartOnce(kRetryDelay);
          return;
        }
        this->Open(*secret);
        this->PublishRecord();
      });
}

void FleetLink::Open(const std::string& secret) {
  const bool has_opened = RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(
            this->context.peers,
            PeerLink::Create(this->context.loop,
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

void FleetLink::PublishRecord() {
  this->context.port.publish_member(
      {this->context.settings.name, DescribeOwnInstance(this->context)},
      [this](PublishOutcome outcome) {
        if (outcome != PublishOutcome::kDone && !this->context.is_leaving) {
          this->retry_timer.StartOnce(kRetryDelay);
        }
      });
}

}  // namespace parsleyquay
