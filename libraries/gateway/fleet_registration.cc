#include "gateway/fleet_registration.h"

#include <algorithm>
#include <utility>

#include "base/random_id.h"
#include "logging/event_log.h"

namespace parsleyquay {

namespace {

constexpr Duration kRetryDelay = milliseconds(700);
constexpr std::size_t kSecretBytes = 32;

// How long an instance that does not know the fleet's secret leaves it to the
// others to write it again after the store has returned without it. They
// notice the new era within 1.2 s, or 0.9 s after an outage.
constexpr Duration kSecretGracePeriod = seconds(2);

// All instances look for their records in a new era, one read each.
constexpr Duration kRestoreSpread = seconds(1);

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
      retry_timer(context.loop, [this] { this->Join(); }),
      restore_timer(context.loop, [this] { this->Restore(); }) {
  context.coordination.era->Watch([this](std::uint64_t) {
    this->restore_timer.StartOnce(NewEraReadDelay(
        RankOfMember(this->context.members, this->context.settings.name),
        kRestoreSpread));
  });
}

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
  AgreeOnSecret(
      this->context.coordination, RandomHex(kSecretBytes),
      [this](const FleetRecords& records) {
        return this->MayCreateSecret(records);
      },
      [this](const std::optional<AgreedSecret>& agreed) {
        if (!agreed) {
          this->was_store_unavailable |= !this->secret_missing_since;
          this->retry_timer.StartOnce(kRetryDelay);
          return;
        }
        this->Open(*agreed);
        this->PublishRecord();
      });
}

bool FleetRegistration::MayCreateSecret(const FleetRecords& records) {
  const TimePoint now = this->context.Now();
  this->secret_missing_since = this->secret_missing_since.value_or(now);
  return !this->MayHaveLostSecret(records) ||
         now - *this->secret_missing_since >= kSecretGracePeriod;
}

// Returns whether the store has just returned and may have lost a secret that
// others know.
bool FleetRegistration::MayHaveLostSecret(const FleetRecords& records) const {
  return records.end.era > 0 && this->was_store_unavailable;
}

void FleetRegistration::Open(const AgreedSecret& agreed) {
  this->secret = agreed.secret;
  this->secret_era = agreed.records.end.era;
  this->context.peer_transport.reset();
  const bool has_opened = RunOrReport(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(
            this->context.peer_transport,
            PeerTransport::Create(
                this->context.loop, this->context.settings.peer_address,
                this->secret, this->methods, this->handlers.on_message));
        return {};
      },
      [](const Error& error) { LogError("peers_unavailable", error); });
  if (has_opened) {
    LogEvent(LogLevel::kInfo, "peers_ready",
             {{"address", this->context.settings.peer_address}});
    this->handlers.on_open();
  }
}

// Looks for the secret and the record in the new era. The secret that is found
// there replaces the known one: the store is the authority in its newest era.
void FleetRegistration::Restore() {
  const bool is_joining = this->secret.empty();
  if (is_joining ||
      this->secret_era == this->context.coordination.era->known()) {
    return;
  }
  AgreeOnSecret(
      this->context.coordination, this->secret,
      [](const FleetRecords&) { return true; },
      [this](const std::optional<AgreedSecret>& agreed) {
        if (!agreed) {
          this->restore_timer.StartOnce(kRetryDelay);
          return;
        }
        if (agreed->secret != this->secret) {
          LogEvent(LogLevel::kWarning, "secret_replaced",
                   {{"era", std::to_string(agreed->records.end.era)}});
          this->Open(*agreed);
        }
        this->secret_era = agreed->records.end.era;
        this->RestoreRecord(*agreed);
      });
}

void FleetRegistration::RestoreRecord(const AgreedSecret& agreed) {
  const MemberRecord own = MakeOwnMemberRecord(this->context);
  const auto found =
      std::ranges::find(agreed.records.members, own.name, &MemberChange::name);
  const bool is_listed = found != agreed.records.members.end() && found->record;
  const bool is_removed_again = this->context.is_leaving && is_listed;
  const bool is_written_again =
      !this->context.is_leaving && !(is_listed && *found->record == own);
  if (is_written_again) {
    this->PublishRecord();
  } else if (is_removed_again) {
    this->Leave([] {});
  }
  const bool has_changed_record = is_written_again || is_removed_again;
  IncrementCounter(
      this->context.metrics, "store_records_restored",
      (agreed.is_written ? 1U : 0U) + (has_changed_record ? 1U : 0U));
  LogEvent(LogLevel::kInfo, "store_records",
           {{"era", std::to_string(agreed.records.end.era)},
            {"secret", agreed.is_written ? "written_again" : "found"},
            {"record", is_written_again   ? "written_again"
                       : is_removed_again ? "removed_again"
                                          : "found"}});
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
