#ifndef PARSLEYQUAY_BURN_BURN_COUNTERS_H_
#define PARSLEYQUAY_BURN_BURN_COUNTERS_H_

#include <json/json.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/clock.h"

namespace parsleyquay {

// Result of a request with respect to the service level target of its class.
enum class ServedOutcome {
  kMet,        // completed within the target latency
  kSlow,       // completed after the target latency
  kFailed,     // failed, or its outcome is unknown
  kShed,       // refused although the workspace was within its rate limit
  kOverLimit,  // refused by the rate limit; does not count against the target
};

struct OutcomeCounts {
  std::uint64_t met = 0;
  std::uint64_t slow = 0;
  std::uint64_t failed = 0;
  std::uint64_t shed = 0;
  std::uint64_t over_limit = 0;

  // Requests that count against the target.
  std::uint64_t total() const {
    return this->met + this->slow + this->failed + this->shed;
  }
  bool operator==(const OutcomeCounts&) const = default;
};

// Returns the sums of the counts.
OutcomeCounts AddCounts(OutcomeCounts left, const OutcomeCounts& right);

// The counts are kept separately for each class and workspace.
struct BurnKey {
  std::string request_class;
  std::string workspace;

  auto operator<=>(const BurnKey&) const = default;
};

// Counts of one time interval.
struct CountBucket {
  TimePoint start;  // time of the first request
  OutcomeCounts counts;

  bool operator==(const CountBucket&) const = default;
};

// Outcomes by class and workspace over the last hour (kLongWindow). Keys that
// never had a request and intervals without requests take no memory.
struct BurnCounters {
  std::map<BurnKey, std::deque<CountBucket>> buckets;

  bool operator==(const BurnCounters&) const = default;
};

// Windows over which burn rates are computed: a short one that shows changes
// fast, and a long one that shows what is left of the error budget.
constexpr Duration kShortWindow = seconds(300);
constexpr Duration kLongWindow = seconds(3'600);

// Counts one request. Modifies the counters in place, because this runs for
// every request.
void CountServedOutcome(BurnCounters& counters,
                        const BurnKey& key,
                        ServedOutcome outcome,
                        TimePoint now);

// Returns the counts of the buckets that started within `window` before `now`.
OutcomeCounts SumWindow(const std::deque<CountBucket>& buckets,
                        Duration window,
                        TimePoint now);

// Returns a JSON array with a BurnRow for each key, to be merged with those of
// other instances.
Json::Value ToJson(const BurnCounters& counters, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BURN_BURN_COUNTERS_H_
