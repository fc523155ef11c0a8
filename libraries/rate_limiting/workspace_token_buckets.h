#ifndef PARSLEYQUAY_RATE_LIMITING_WORKSPACE_TOKEN_BUCKETS_H_
#define PARSLEYQUAY_RATE_LIMITING_WORKSPACE_TOKEN_BUCKETS_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "routing/fleet_configuration.h"

namespace parsleyquay {

// What is left of a workspace's rate and burst, at the one instance that has
// the duty to meter it: a token bucket.
struct TokenBucket {
  double tokens = 0;
  TimePoint filled_at;

  bool operator==(const TokenBucket&) const = default;
};

// The workspaces that this instance meters. A bucket begins empty: whatever
// the instance before may have granted, the two together never exceed rate
// and burst.
struct WorkspaceTokenBuckets {
  std::map<std::string, TokenBucket> buckets;

  bool operator==(const WorkspaceTokenBuckets&) const = default;
};

struct TokenReservation {
  bool is_granted = false;
  Duration retry_after = Duration(0);  // until a token is expected

  bool operator==(const TokenReservation&) const = default;
};

// Takes one token. A request that finds none may wait for one that comes
// within `patience`: the token is taken in advance, `retry_after` says when it
// may be used, and is_granted is true.
TokenReservation ReserveToken(WorkspaceTokenBuckets& token_buckets,
                              const std::string& workspace,
                              const WorkspaceConfiguration& configuration,
                              Duration patience,
                              TimePoint now);

// Begins to meter a workspace, so that its bucket fills from now on.
void EnsureTokenBucket(WorkspaceTokenBuckets& token_buckets,
                       const std::string& workspace,
                       TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RATE_LIMITING_WORKSPACE_TOKEN_BUCKETS_H_
