#ifndef PARSLEYQUAY_OPERATIONS_PUBLISHER_H_
#define PARSLEYQUAY_OPERATIONS_PUBLISHER_H_

#include <functional>
#include <string>

#include "base/error.h"
#include "fleet/fleet_state.h"
#include "operations/blocking_http_client.h"

namespace parsleyquay {

enum class PublishStatus {
  kAccepted,  // the record is in the log and took effect
  kRejected,  // the record has no effect, for `reason`
  kUnknown,   // the record was sent, but its outcome could not be read
};

struct PublishResult {
  PublishStatus status = PublishStatus::kUnknown;
  std::uint64_t offset = 0;  // of the record; 0 if it is not in the log
  std::string reason;        // why it was rejected, or the last read error
  FleetState fleet;          // as of the last read

  bool operator==(const PublishResult&) const = default;
};

// Checks a record against the state, appends it to the log and reads the log
// until the record's outcome is known, for up to 15 s. If the reply to an
// append is lost, the record is appended again, which its id makes harmless.
Result<PublishResult> Publish(BlockingHttpClient& http,
                              const std::string& platform,
                              FleetState fleet,
                              const Record& record);

// How many members have applied the record at an offset.
struct RolloutProgress {
  std::size_t applied = 0;  // members that have applied it
  std::size_t members = 0;  // all members

  bool is_complete() const { return this->applied >= this->members; }
  bool operator==(const RolloutProgress&) const = default;
};

// Asks every member for its log offset. Members that do not respond within 800
// ms count as not having applied the record.
RolloutProgress QueryRolloutProgress(BlockingHttpClient& http,
                                     const FleetState& fleet,
                                     std::uint64_t offset);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_OPERATIONS_PUBLISHER_H_
