#ifndef PARSLEYQUAY_ROLLOUT_VERSION_EVIDENCE_H_
#define PARSLEYQUAY_ROLLOUT_VERSION_EVIDENCE_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace parsleyquay {

// The outcomes of requests, without those that were shed. Latencies are counted
// in buckets of half an octave, see LatencyBucketOf().
struct OutcomeCounts {
  long failed = 0;
  long unmeasured = 0;            // good, but not comparable by latency
  std::map<int, long> latencies;  // good responses by bucket

  long total() const;
  bool operator==(const OutcomeCounts&) const = default;
};

// Returns the bucket of a latency: twice its binary logarithm in milliseconds,
// rounded down, and 0 for less than a millisecond.
int LatencyBucketOf(Duration latency);

void AddCounts(OutcomeCounts& counts, const OutcomeCounts& added);

// The outcomes of one new server, by the window in which they became known.
struct ServerEvidence {
  std::string failure_domain;
  std::map<long, OutcomeCounts> windows;

  bool operator==(const ServerEvidence&) const = default;
};

// The outcomes of one route, or of all routes.
struct RouteEvidence {
  OutcomeCounts old_version;
  std::map<std::string, ServerEvidence> new_servers;  // by name

  bool operator==(const RouteEvidence&) const = default;
};

// What is known of the versions of one service since the rollout request.
struct VersionEvidence {
  std::map<std::string, RouteEvidence> routes;  // by name
  RouteEvidence all_routes;

  bool operator==(const VersionEvidence&) const = default;
};

// The length of a window. Failures within one depend on each other.
constexpr Duration kEvidenceWindow = milliseconds(500);

// Adds outcomes of a route that became known `elapsed` after the rollout
// request, at a new server or, if `server` is empty, at old ones.
void AddEvidence(VersionEvidence& evidence,
                 const std::string& route,
                 const std::string& server,
                 const std::string& failure_domain,
                 const OutcomeCounts& counts,
                 Duration elapsed);

// How the new version compares to the old one.
struct VersionComparison {
  // The logarithm of how much more probable the outcomes are if the new version
  // is worse than if it is as good: the largest one among the routes, over the
  // whole time, over the last three seconds and over the last one.
  double whole_time = 0;
  double recent = 0;
  double newest = 0;
  std::string worst_route;  // "" if all routes together are worst
  long exposed = 0;         // outcomes of the new version
  long bad = 0;             // failed or several times slower
  long compared = 0;        // outcomes of the old version

  double worst() const;
  bool operator==(const VersionComparison&) const = default;
};

// Compares the versions. The outcomes of each server are taken as those of a
// hidden Markov model: any server, also of a good version, has spells in which
// it fails most requests, so that many failures of one server in a row weigh
// little. A version is worse if its servers also fail otherwise. The weight of
// one server, and of the servers of one failure domain if there are several, is
// limited, because servers that fail together are one observation.
VersionComparison CompareVersions(const VersionEvidence& evidence,
                                  Duration elapsed);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_ROLLOUT_VERSION_EVIDENCE_H_
