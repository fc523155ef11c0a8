#ifndef PARSLEYQUAY_OPERATIONS_PUBLISHER_H_
#define PARSLEYQUAY_OPERATIONS_PUBLISHER_H_

#include <functional>
#include <string>

#include "base/error.h"
#include "fleet/fleet_state.h"
#include "operations/blocking_http_client.h"

namespace parsleyquay {

enum class PublishStatus {
  kAccepted,  // the record is in the log and stands
  kRejected,  // it stands in no effect, for `reason`
  kUnknown,   // it was sent and could not be read back
};

struct PublishResult {
  PublishStatus status = PublishStatus::kUnknown;
  std::uint64_t offset = 0;
  std::string reason;
  FleetState fleet;  // as of the last read

  bool operator==(const PublishResult&) const = default;
};

// Checks a record against the state, appends it and reads the log until its
// outcome is known. A lost reply is resolved by reading; the record's id makes
// a second append of it harmless.
Result<PublishResult> Publish(BlockingHttpClient& http,
                              const std::string& platform,
                              FleetState fleet,
                              const Record& record);

// How many instances hold an offset.
struct RolloutProgress {
  std::size_t applied = 0;
  std::size_t members = 0;

  bool is_complete() const { return this->applied >= this->members; }
  bool operator==(const RolloutProgress&) const = default;
};

// Asks every member for its offset.
RolloutProgress QueryRolloutProgress(BlockingHttpClient& http,
                                     const FleetState& fleet,
                                     std::uint64_t offset);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_OPERATIONS_PUBLISHER_H_
