#ifndef PARSLEYQUAY_DISSEMINATION_CONFIGURATION_SOURCE_H_
#define PARSLEYQUAY_DISSEMINATION_CONFIGURATION_SOURCE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "dissemination/aggregator_election.h"

namespace parsleyquay {

// From where an instance has the operators' changes.
enum class ConfigurationSource {
  kStore,       // it reads the feed continuously
  kAggregator,  // other instances that read the feed
};

// Why an instance has its source. The names are those of log lines.
enum class SourceReason {
  kStarting,
  kIsAggregator,
  kIsStandby,
  kNoAggregator,          // it receives no digests
  kAggregatorServesNone,  // such as one of an earlier version
  kFollowsAggregator,
};

struct SourceDecision {
  ConfigurationSource source = ConfigurationSource::kStore;
  SourceReason reason = SourceReason::kNoAggregator;

  bool operator==(const SourceDecision&) const = default;
};

// Returns the source of a running instance. `is_served` is whether the newest
// digest of an aggregator that it has followed states that the sender answers
// requests. Until `settle_until` an instance that has started waits for an
// aggregator.
SourceDecision DecideSource(const AggregatorElection& election,
                            bool is_served,
                            TimePoint settle_until,
                            TimePoint now);

std::string_view SourceReasonName(SourceReason reason);

// Which members were asked for the state that an instance lacks.
struct RequestSchedule {
  std::optional<TimePoint> begun_at;  // when the first one was asked
  int asked = 0;                      // how many were asked since

  bool operator==(const RequestSchedule&) const = default;
};

// How long a member has time to answer before the next one is asked. Between
// two instances that is a few milliseconds, so this allows for a queue of
// requests there.
constexpr Duration kAnswerTime = milliseconds(75);

// When all members were asked in vain, the first one is asked again after this,
// counted from the first request. The store is read meanwhile.
constexpr Duration kRequestRound = milliseconds(500);

// Returns which of `members` to ask now, and records that it was asked. To be
// called repeatedly while the state is missing. `progressed_at` is the time of
// the newest part of an answer.
std::optional<std::string> NextToAsk(RequestSchedule& schedule,
                                     const std::vector<std::string>& members,
                                     TimePoint progressed_at,
                                     TimePoint now);

// Returns whom an instance asks, in this order: `first` unless it is empty, its
// aggregator, and the standby. A starting instance does not know all members
// yet, so `first` is the member whose digest it has received.
std::vector<std::string> MembersToAsk(const AggregatorElection& election,
                                      const std::string& first);

// Whether a starting instance that has no configuration has to read it from the
// store now. `election` is that of the same instance; it needs some time to
// learn of the other members.
bool HasToReadAtStart(const AggregatorElection& election,
                      const RequestSchedule& schedule,
                      TimePoint started_at,
                      TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_DISSEMINATION_CONFIGURATION_SOURCE_H_
