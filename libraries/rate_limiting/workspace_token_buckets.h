#ifndef PARSLEYQUAY_RATE_LIMITING_WORKSPACE_TOKEN_BUCKETS_H_
#define PARSLEYQUAY_RATE_LIMITING_WORKSPACE_TOKEN_BUCKETS_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "routing/fleet_configuration.h"

namespace parsleyquay {

// The token bucket of a workspace's rate limit.
struct TokenBucket {
  double tokens = 0;
  TimePoint filled_at;  // when `tokens` was computed

  bool operator==(const TokenBucket&) const = default;
};

// The token buckets of the workspaces whose rate limit this instance enforces
// for the whole fleet. A new bucket is empty, so that this instance and the one
// that enforced the limit before never exceed rate and burst together.
struct WorkspaceTokenBuckets {
  std::map<std::string, TokenBucket> buckets;  // by workspace

  bool operator==(const WorkspaceTokenBuckets&) const = default;
};

// Whether a request may proceed. If granted, it may do so after `retry_after`;
// if denied, `retry_after` is the time until a token is available.
struct TokenReservation {
  bool is_granted = false;
  Duration retry_after = Duration(0);

  bool operator==(const TokenReservation&) const = default;
};

// Takes one token from the workspace's bucket, which is created if there is
// none, and leaves at least `reserve` tokens in it (see TokenReserve()). If
// there is no reserve, the bucket is empty and the next token accrues within
// `max_wait`, reserves that token: the request is granted and may proceed after
// `retry_after`. The workspace must have a rate limit.
TokenReservation ReserveToken(WorkspaceTokenBuckets& token_buckets,
                              const std::string& workspace,
                              const WorkspaceConfiguration& configuration,
                              Duration max_wait,
                              TimePoint now,
                              double reserve = 0);

// Creates an empty bucket for the workspace, which fills from `now` on. Does
// nothing if there already is one.
void EnsureTokenBucket(WorkspaceTokenBuckets& token_buckets,
                       const std::string& workspace,
                       TimePoint now);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_RATE_LIMITING_WORKSPACE_TOKEN_BUCKETS_H_
