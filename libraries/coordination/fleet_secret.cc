#include "coordination/fleet_secret.h"

#include <utility>

namespace parsleyquay {

void AgreeOnSecret(const CoordinationStore& store,
                   const std::string& proposal,
                   const MayCreateSecret& may_create,
                   const OnAgreedSecret& on_agreed) {
  store.read_fleet_records([publish = store.publish_secret, proposal,
                            may_create,
                            on_agreed](std::optional<FleetRecords> records) {
    if (!records) {
      on_agreed(std::nullopt);
      return;
    }
    if (records->secret) {
      on_agreed(AgreedSecret{*records->secret, *records});
      return;
    }
    if (!may_create(*records)) {
      on_agreed(std::nullopt);
      return;
    }
    publish(
        proposal, records->end,
        [proposal, records, on_agreed](PublishOutcome outcome) {
          on_agreed(outcome == PublishOutcome::kDone
                        ? std::optional(AgreedSecret{proposal, *records, true})
                        : std::nullopt);
        });
  });
}

}  // namespace parsleyquay
