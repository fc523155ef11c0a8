#include "rollout/version_evidence.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <set>

namespace parsleyquay {

namespace {

// Any server fails about 1.2 % of its requests outside of spells.
constexpr double kMinBadShare = 0.025;
constexpr double kMaxBadShare = 0.3;
// Share of the old version's responses above the limit from which a response
// counts as slow, and the distance of that limit from its median: two buckets,
// which is twice as slow.
constexpr double kSlowShare = 0.04;
constexpr int kSlowDistance = 2;
// With fewer measured responses of the old version nothing counts as slow.
constexpr long kMinMeasured = 20;

// Spells: their share of the time, how often they begin and end, in 1/s, and
// the share of failures in them.
constexpr double kSpellShare = 0.05;
constexpr double kSpellBeginRate = 0.03;
constexpr double kSpellEndRate = 0.3;
constexpr double kSpellBadShare = 0.85;

// Shares of bad responses of a version that is worse.
constexpr std::array kWorseShares = {0.1, 0.2, 0.35, 0.6, 0.95};
// A version is worse if it is bad at least this many times as often.
constexpr double kMinWorseFactor = 1.8;

// The largest weights of one server and of one failure domain. The latter is
// less than what a rollback needs before the planned decision.
constexpr double kMaxServerWeight = 5;
constexpr double kMaxDomainWeight = 7;

// The last seconds, which show a version that turns bad late.
constexpr Duration kRecent = seconds(3);
// While the requests move, few outcomes of the last seconds are new.
constexpr Duration kNewest = seconds(1);

// The responses of one window.
struct Sample {
  long window = 0;
  long good = 0;
  long bad = 0;
};

long CountMeasured(const OutcomeCounts& counts) {
  return std::accumulate(
      counts.latencies.begin(), counts.latencies.end(), 0L,
      [](long sum, const auto& bucket) { return sum + bucket.second; });
}

// Returns the lowest bucket that no more than `share` of the latencies exceed.
int UpperBucket(const OutcomeCounts& counts, double share) {
  const double allowed = share * static_cast<double>(CountMeasured(counts));
  long above = 0;
  int bucket = 0;
  for (auto item = counts.latencies.rbegin(); item != counts.latencies.rend();
       ++item) {
    bucket = item->first;
    above += item->second;
    if (static_cast<double>(above) > allowed) {
      break;
    }
  }
  return bucket;
}

// Returns the highest bucket that does not count as slow.
int SlowLimit(const OutcomeCounts& old_version) {
  constexpr double kMedianShare = 0.5;
  if (CountMeasured(old_version) < kMinMeasured) {
    return std::numeric_limits<int>::max();
  }
  return std::max(UpperBucket(old_version, kSlowShare),
                  UpperBucket(old_version, kMedianShare) + kSlowDistance);
}

long CountBad(const OutcomeCounts& counts, int slow_limit) {
  return std::accumulate(
      counts.latencies.upper_bound(slow_limit), counts.latencies.end(),
      counts.failed,
      [](long sum, const auto& bucket) { return sum + bucket.second; });
}

double LogAdd(double one, double other) {
  const double greater = std::max(one, other);
  return greater + std::log1p(std::exp(std::min(one, other) - greater));
}

// Returns the log likelihood of the samples of a server that fails `bad_share`
// of its requests outside of spells, by the forward algorithm.
double LogLikelihood(const std::vector<Sample>& samples, double bad_share) {
  double normal = std::log(1 - kSpellShare);
  double spell = std::log(kSpellShare);
  std::optional<long> previous;
  for (const Sample& sample : samples) {
    if (previous) {
      const double gap = ToSeconds(kEvidenceWindow) *
                         static_cast<double>(sample.window - *previous);
      const double begins = 1 - std::exp(-kSpellBeginRate * gap);
      const double ends = 1 - std::exp(-kSpellEndRate * gap);
      const double next_normal =
          LogAdd(normal + std::log(1 - begins), spell + std::log(ends));
      spell = LogAdd(normal + std::log(begins), spell + std::log(1 - ends));
      normal = next_normal;
    }
    previous = sample.window;
    const auto good = static_cast<double>(sample.good);
    const auto bad = static_cast<double>(sample.bad);
    normal += bad * std::log(bad_share) + good * std::log(1 - bad_share);
    spell +=
        bad * std::log(kSpellBadShare) + good * std::log(1 - kSpellBadShare);
  }
  return LogAdd(normal, spell);
}

std::vector<Sample> SamplesSince(const ServerEvidence& server,
                                 long first_window,
                                 int slow_limit) {
  std::vector<Sample> samples;
  for (auto window = server.windows.lower_bound(first_window);
       window != server.windows.end(); ++window) {
    const long bad = CountBad(window->second, slow_limit);
    samples.push_back({window->first, window->second.total() - bad, bad});
  }
  return samples;
}

struct WeightLimits {
  double server = 0;
  double domain = 0;
};

// One server or one failure domain alone can be told from a worse version only
// if there are others.
WeightLimits LimitsOf(const RouteEvidence& all_routes) {
  constexpr double kNoLimit = std::numeric_limits<double>::infinity();
  std::set<std::string> domains;
  for (const auto& [name, server] : all_routes.new_servers) {
    domains.insert(server.failure_domain);
  }
  return {all_routes.new_servers.size() > 1 ? kMaxServerWeight : kNoLimit,
          domains.size() > 1 ? kMaxDomainWeight : kNoLimit};
}

double BadShareOf(const OutcomeCounts& old_version, int slow_limit) {
  constexpr double kPriorResponses = 10;
  const double bad = static_cast<double>(CountBad(old_version, slow_limit));
  const double total = static_cast<double>(old_version.total());
  return std::clamp(
      (bad + kPriorResponses * kMinBadShare) / (total + kPriorResponses),
      kMinBadShare, kMaxBadShare);
}

double LogRatio(const RouteEvidence& route,
                long first_window,
                int slow_limit,
                double worse_share,
                WeightLimits limits) {
  const double old_share = BadShareOf(route.old_version, slow_limit);
  if (worse_share < kMinWorseFactor * old_share) {
    return -std::numeric_limits<double>::infinity();
  }
  std::map<std::string, double> by_domain;
  for (const auto& [name, server] : route.new_servers) {
    const std::vector<Sample> samples =
        SamplesSince(server, first_window, slow_limit);
    by_domain[server.failure_domain] +=
        std::min(limits.server, LogLikelihood(samples, worse_share) -
                                    LogLikelihood(samples, old_share));
  }
  return std::accumulate(by_domain.begin(), by_domain.end(), 0.,
                         [&](double sum, const auto& domain) {
                           return sum + std::min(limits.domain, domain.second);
                         });
}

double WorstLogRatio(const RouteEvidence& route,
                     long first_window,
                     WeightLimits limits) {
  const int slow_limit = SlowLimit(route.old_version);
  double worst = -std::numeric_limits<double>::infinity();
  for (const double worse_share : kWorseShares) {
    worst = std::max(
        worst, LogRatio(route, first_window, slow_limit, worse_share, limits));
  }
  return worst;
}

}  // namespace

long OutcomeCounts::total() const {
  return this->failed + this->unmeasured + CountMeasured(*this);
}

double VersionComparison::worst() const {
  return std::max({this->whole_time, this->recent, this->newest});
}

int LatencyBucketOf(Duration latency) {
  const double measured = ToSeconds(latency) * 1'000;
  return measured < 1 ? 0 : static_cast<int>(2 * std::log2(measured));
}

void AddCounts(OutcomeCounts& counts, const OutcomeCounts& added) {
  counts.failed += added.failed;
  counts.unmeasured += added.unmeasured;
  for (const auto& [bucket, count] : added.latencies) {
    counts.latencies[bucket] += count;
  }
}

void AddEvidence(VersionEvidence& evidence,
                 const std::string& route,
                 const std::string& server,
                 const std::string& failure_domain,
                 const OutcomeCounts& counts,
                 Duration elapsed) {
  for (RouteEvidence* part : {&evidence.routes[route], &evidence.all_routes}) {
    if (server.empty()) {
      AddCounts(part->old_version, counts);
      continue;
    }
    ServerEvidence& known = part->new_servers[server];
    known.failure_domain = failure_domain;
    AddCounts(known.windows[elapsed / kEvidenceWindow], counts);
  }
}

VersionComparison CompareVersions(const VersionEvidence& evidence,
                                  Duration elapsed) {
  const RouteEvidence& all = evidence.all_routes;
  const WeightLimits limits = LimitsOf(all);
  const auto compare = [&](const RouteEvidence& route) {
    const auto since = [&](Duration age) {
      return WorstLogRatio(
          route, std::max(Duration(0), elapsed - age) / kEvidenceWindow,
          limits);
    };
    return VersionComparison{.whole_time = since(elapsed),
                             .recent = since(kRecent),
                             .newest = since(kNewest)};
  };
  VersionComparison result = compare(all);
  result.compared = all.old_version.total();
  const int slow_limit = SlowLimit(all.old_version);
  for (const auto& [name, server] : all.new_servers) {
    for (const auto& [window, counts] : server.windows) {
      result.exposed += counts.total();
      result.bad += CountBad(counts, slow_limit);
    }
  }
  for (const auto& [name, route] : evidence.routes) {
    const VersionComparison one = compare(route);
    if (one.worst() > result.worst()) {
      result.worst_route = name;
    }
    result.whole_time = std::max(result.whole_time, one.whole_time);
    result.recent = std::max(result.recent, one.recent);
    result.newest = std::max(result.newest, one.newest);
  }
  return result;
}

}  // namespace parsleyquay
