#ifndef PARSLEYQUAY_BALANCING_CONCURRENCY_LIMIT_H_
#define PARSLEYQUAY_BALANCING_CONCURRENCY_LIMIT_H_

#include "base/clock.h"

namespace parsleyquay {

// How many requests one instance may have at one backend server.
struct ConcurrencyLimit {
  double limit = 0;
  double maximum = 0;

  bool operator==(const ConcurrencyLimit&) const = default;
};

// Starts at a server's slots; the ceiling keeps all instances together within
// the server's connections.
ConcurrencyLimit MakeConcurrencyLimit(long slots,
                                      long connections,
                                      std::size_t instances_per_server);

// Additive increase, multiplicative decrease (Chiu and Jain, 1989): a request
// that took much longer than `usual` or was shed lowers the limit.
ConcurrencyLimit AdaptLimit(ConcurrencyLimit limit,
                            Duration latency,
                            Duration usual);
ConcurrencyLimit AdaptLimitAfterShed(ConcurrencyLimit limit);

long RoundedDownLimit(const ConcurrencyLimit& limit);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BALANCING_CONCURRENCY_LIMIT_H_
