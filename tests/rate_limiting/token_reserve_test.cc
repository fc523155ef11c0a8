#include "rate_limiting/token_reserve.h"

#include <catch2/catch.hpp>
#include <map>

#include "rate_limiting/workspace_token_buckets.h"

namespace parsleyquay {
namespace {

constexpr TimePoint kStart = TimePoint(seconds(1'000));
constexpr int kReads = 0;
constexpr int kOrders = 1;
constexpr int kDownloads = 2;
const WorkspaceConfiguration limited_workspace{.requests_per_second = 100,
                                               .burst = 100};

// Requests per second by priority.
using Load = std::map<int, int>;

// Plays ten seconds of evenly spaced requests and returns the share of each
// priority that was granted in the second half.
std::map<int, double> PlayLoad(const Load& load, bool has_priorities) {
  WorkspaceTokenBuckets buckets;
  TokenDemand demand;
  std::map<int, double> asked;
  std::map<int, double> granted;
  for (int step = 0; step < 10'000; ++step) {
    const TimePoint now = kStart + milliseconds(step);
    for (const auto& [priority, per_second] : load) {
      const bool is_due =
          (step * per_second) / 1'000 != ((step + 1) * per_second) / 1'000;
      if (!is_due) {
        continue;
      }
      RecordTokenRequest(demand, priority, now);
      const double reserve =
          has_priorities
              ? TokenReserve(demand, limited_workspace, priority, now)
              : 0;
      // Requests of low priority have more time to wait.
      const Duration max_wait = milliseconds(50 + 100 * priority);
      const bool is_granted =
          ReserveToken(buckets, "w", limited_workspace, max_wait, now, reserve)
              .is_granted;
      if (step >= 5'000) {
        asked[priority] += 1;
        granted[priority] += is_granted ? 1 : 0;
      }
    }
  }
  std::map<int, double> shares;
  for (const auto& [priority, count] : asked) {
    shares[priority] = granted[priority] / count;
  }
  return shares;
}

// Load: one workspace sends several times its rate, most of it downloads of the
// lowest priority. Guards against downloads that take the tokens of reads.
TEST_CASE("a burst of low priority leaves the tokens to high priority") {
  const Load load = {{kReads, 60}, {kDownloads, 400}};
  CHECK(PlayLoad(load, false).at(kReads) < 0.5);
  const auto shares = PlayLoad(load, true);
  CHECK(shares.at(kReads) > 0.99);
  CHECK(shares.at(kDownloads) > 0.09);  // what 60 reads leave of 100 tokens
}

// Load: one workspace sends seven times its rate, with all three priorities.
// Guards against downloads that take tokens from orders by waiting for them.
TEST_CASE("each priority comes before the ones below it") {
  const Load load = {{kReads, 60}, {kOrders, 500}, {kDownloads, 140}};
  const auto shares = PlayLoad(load, true);
  CHECK(shares.at(kReads) > 0.99);
  CHECK(shares.at(kOrders) > 0.079);  // 40 of 500
  CHECK(shares.at(kDownloads) < 0.01);
}

// Guards against reserved tokens that nobody uses.
TEST_CASE("low priority gets all tokens while high priority does not ask") {
  CHECK(PlayLoad({{kDownloads, 200}}, true).at(kDownloads) > 0.49);
}

// Guards against a change for workspaces whose routes have no priority 0.
TEST_CASE("nothing is reserved without requests of the highest priority") {
  const Load load = {{kOrders, 100}, {kDownloads, 200}};
  CHECK(PlayLoad(load, true) == PlayLoad(load, false));
}

TEST_CASE("nothing is reserved while the rate covers the whole demand") {
  TokenDemand demand;
  for (int i = 0; i < 80; ++i) {
    RecordTokenRequest(demand, i % 2 == 0 ? kReads : kDownloads, kStart);
  }
  CHECK(TokenReserve(demand, limited_workspace, kDownloads, kStart) == 0);
}

TEST_CASE("no more than half of the burst is reserved") {
  TokenDemand demand;
  for (int i = 0; i < 1'000; ++i) {
    RecordTokenRequest(demand, kReads, kStart);
  }
  CHECK(TokenReserve(demand, limited_workspace, kDownloads, kStart) == 50);
  CHECK(TokenReserve(demand, limited_workspace, kReads, kStart) == 0);
}

}  // namespace
}  // namespace parsleyquay
