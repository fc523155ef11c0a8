#ifndef PARSLEYQUAY_GATEWAY_FLEET_REGISTRATION_H_
#define PARSLEYQUAY_GATEWAY_FLEET_REGISTRATION_H_

#include <functional>
#include <string>
#include <vector>

#include "event/timer.h"
#include "gateway/gateway_context.h"

namespace parsleyquay {

// This instance as the others are to find it.
MemberRecord MakeOwnMemberRecord(const GatewayContext& context);

// Opens the link to the other instances once all have agreed on its secret, and
// keeps this instance's record in the store.
class FleetRegistration {
 public:
  struct Handlers {
    std::function<void()> on_open;
    PeerTransport::Handler on_message;
  };

  FleetRegistration(GatewayContext& context,
                    std::vector<std::string> methods,
                    Handlers handlers);

  // Tries until it succeeds.
  void Join();

  // Takes back this instance's record.
  void Leave(std::function<void()> on_done);

 private:
  void GetOrCreateSecret();
  void Open(const std::string& secret);
  void PublishRecord();

  GatewayContext& context;
  std::vector<std::string> methods;
  Handlers handlers;
  Timer retry_timer;
};

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_GATEWAY_FLEET_REGISTRATION_H_
