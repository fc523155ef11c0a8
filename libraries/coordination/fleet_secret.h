#ifndef PARSLEYQUAY_COORDINATION_FLEET_SECRET_H_
#define PARSLEYQUAY_COORDINATION_FLEET_SECRET_H_

#include <functional>
#include <optional>
#include <string>

#include "coordination/coordination_store.h"

namespace parsleyquay {

// The secret that all instances share, and the records as they were read before
// it was written.
struct AgreedSecret {
  std::string secret;
  FleetRecords records;
  bool is_written = false;  // by this instance, since there was none

  bool operator==(const AgreedSecret&) const = default;
};

// Returns whether a secret may be written if the records have none.
using MayCreateSecret = std::function<bool(const FleetRecords& records)>;
// Called with std::nullopt if the store is unavailable, another instance writes
// at the same time, or the secret may not be written; the instance then has to
// try again.
using OnAgreedSecret = std::function<void(std::optional<AgreedSecret>)>;

// Reads the shared secret. If there is none, writes `proposal`, on condition
// that no instance has written anything since the read. Within one era the
// secret is written once, so all instances that read it there agree.
void AgreeOnSecret(const CoordinationStore& store,
                   const std::string& proposal,
                   const MayCreateSecret& may_create,
                   const OnAgreedSecret& on_agreed);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_COORDINATION_FLEET_SECRET_H_
