#ifndef PARSLEYQUAY_GATEWAY_FLEET_REGISTRATION_H_
#define PARSLEYQUAY_GATEWAY_FLEET_REGISTRATION_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/fleet_secret.h"
#include "event/timer.h"
#include "gateway/gateway_context.h"

namespace parsleyquay {

// Returns this instance's record in the store, by which the other instances
// find it.
MemberRecord MakeOwnMemberRecord(const GatewayContext& context);

// Registers this instance with the fleet: obtains the secret that all instances
// share, opens the peer transport, which authenticates messages with it, and
// writes this instance's record to the store. When the store has returned with
// older data, writes both again if they are missing.
class FleetRegistration {
 public:
  struct Handlers {
    std::function<void()> on_open;
    PeerTransport::Handler on_message;
  };

  // `methods` are the methods of messages that the peer transport accepts.
  FleetRegistration(GatewayContext& context,
                    std::vector<std::string> methods,
                    Handlers handlers);

  // Registers this instance, and retries until the store has its record. If the
  // peer transport cannot be opened, logs the error and writes the record
  // nevertheless.
  void Join();

  // Deletes this instance's record, in one attempt, and calls `on_done` when
  // that has succeeded or failed.
  void Leave(std::function<void()> on_done);

 private:
  void GetOrCreateSecret();
  bool MayCreateSecret(const FleetRecords& records);
  bool MayHaveLostSecret(const FleetRecords& records) const;
  void Open(const AgreedSecret& agreed);
  void PublishRecord();
  void Restore();
  void RestoreRecord(const AgreedSecret& agreed);

  GatewayContext& context;
  std::vector<std::string> methods;
  Handlers handlers;
  Timer retry_timer;
  Timer restore_timer;
  std::string secret;                  // empty until it is known
  std::uint64_t secret_era = 0;        // in which it was last found or written
  bool was_store_unavailable = false;  // before the secret was known
  // Since when an instance that does not know the secret has found none.
  std::optional<TimePoint> secret_missing_since;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_FLEET_REGISTRATION_H_
