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

// How a request ended, seen from its class's target.
enum class ServedOutcome {
  kMet,        // whole and in time
  kSlow,       // whole, later than the target
  kFailed,     // failed or unknown
  kShed,       // refused although within the workspace's rate
  kOverLimit,  // refused for the rate; does not burn the budget
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

OutcomeCounts AddCounts(OutcomeCounts left, const OutcomeCounts& right);

struct BurnKey {
  std::string work_class;
  std::string workspace;

  auto operator<=>(const BurnKey&) const = default;
};

// Counts of one interval of time.
struct CountBucket {
  TimePoint start;
  OutcomeCounts counts;

  bool operator==(const CountBucket&) const = default;
};

// Outcomes by class and workspace over the last hour. Keys and times without
// requests cost nothing.
struct BurnCounters {
  std::map<BurnKey, std::deque<CountBucket>> buckets;

  bool operator==(const BurnCounters&) const = default;
};

constexpr Duration kFastWindow = seconds(300);
constexpr Duration kSlowWindow = seconds(3'600);

// Counts one request. Counters change in place, as every request counts.
void CountServedOutcome(BurnCounters& counters,
                        const BurnKey& key,
                        ServedOutcome outcome,
                        TimePoint now);

OutcomeCounts SumWindow(const std::deque<CountBucket>& buckets,
                        Duration window,
                        TimePoint now);

// The counts of both windows for every key, to be gathered over the fleet.
Json::Value ToJson(const BurnCounters& counters, TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BURN_BURN_COUNTERS_H_
