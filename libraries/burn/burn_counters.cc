#include "burn/burn_counters.h"

#include "burn/burn_report.h"

namespace parsleyquay {

namespace {

constexpr Duration kBucketLength = seconds(10);

void AddOne(OutcomeCounts& counts, ServedOutcome outcome) {
  switch (outcome) {
    case ServedOutcome::kMet:
      ++counts.met;
      return;
    case ServedOutcome::kSlow:
      ++counts.slow;
      return;
    case ServedOutcome::kFailed:
      ++counts.failed;
      return;
    case ServedOutcome::kShed:
      ++counts.shed;
      return;
    case ServedOutcome::kOverLimit:
      ++counts.over_limit;
      return;
  }
}

}  // namespace

OutcomeCounts AddCounts(OutcomeCounts left, const OutcomeCounts& right) {
  left.met += right.met;
  left.slow += right.slow;
  left.failed += right.failed;
  left.shed += right.shed;
  left.over_limit += right.over_limit;
  return left;
}

void CountServedOutcome(BurnCounters& counters,
                        const BurnKey& key,
                        ServedOutcome outcome,
                        TimePoint now) {
  std::deque<CountBucket>& buckets = counters.buckets[key];
  const bool needs_bucket =
      buckets.empty() || now - buckets.back().start >= kBucketLength;
  if (needs_bucket) {
    buckets.push_back({now, {}});
    while (now - buckets.front().start > kSlowWindow) {
      buckets.pop_front();
    }
  }
  AddOne(buckets.back().counts, outcome);
}

OutcomeCounts SumWindow(const std::deque<CountBucket>& buckets,
                        Duration window,
                        TimePoint now) {
  OutcomeCounts sum;
  for (const CountBucket& bucket : buckets) {
    if (now - bucket.start <= window) {
      sum = AddCounts(sum, bucket.counts);
    }
  }
  return sum;
}

Json::Value ToJson(const BurnCounters& counters, TimePoint now) {
  Json::Value json = Json::arrayValue;
  for (const auto& [key, buckets] : counters.buckets) {
    const BurnRow row{key, SumWindow(buckets, kFastWindow, now),
                      SumWindow(buckets, kSlowWindow, now)};
    json.append(ToJson(row));
  }
  return json;
}

}  // namespace parsleyquay
