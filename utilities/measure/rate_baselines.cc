#include "rate_baselines.h"

#include <algorithm>
#include <map>

#include "limits/token_bucket_shard.h"

namespace parsleyquay {

namespace {

std::vector<LoadResult> InOrder(std::vector<LoadResult> results) {
  std::ranges::sort(results, {}, &LoadResult::sent_at);
  return results;
}

}  // namespace

std::size_t CountSingleBucketRefusals(const std::vector<LoadResult>& results,
                                      double rate_per_second,
                                      double burst) {
  return CountEvenSplitRefusals(results, rate_per_second, burst, 1);
}

std::size_t CountEvenSplitRefusals(const std::vector<LoadResult>& results,
                                   double rate_per_second,
                                   double burst,
                                   int instances) {
  const ShardLimits part{rate_per_second / instances, burst / instances};
  std::map<std::string, TokenBucketShard> buckets;
  std::size_t refused = 0;
  for (const LoadResult& result : InOrder(results)) {
    const std::string place = instances == 1 ? "" : result.address;
    const auto [bucket, is_new] = buckets.try_emplace(
        place, MakeTokenBucketShard(part, part.burst, result.sent_at));
    TokenWithdrawal spent =
        SpendLocally(std::move(bucket->second), 1, result.sent_at);
    bucket->second = std::move(spent.shard);
    refused += spent.tokens < 1 ? 1 : 0;
  }
  return refused;
}

}  // namespace parsleyquay
