#ifndef PARSLEYQUAY_BALANCING_CONCURRENCY_LIMIT_H_
#define PARSLEYQUAY_BALANCING_CONCURRENCY_LIMIT_H_

#include "base/clock.h"

namespace parsleyquay {

// Limits the concurrent requests of one instance at one backend server. The
// limit adapts between 1 and `maximum`.
struct ConcurrencyLimit {
  double limit = 0;
  double maximum = 0;

  bool operator==(const ConcurrencyLimit&) const = default;
};

// Returns a limit that starts at the number of the server's slots. Its maximum
// is the instance's part of the server's connections, so that
// `instances_per_server` instances together do not exceed them.
ConcurrencyLimit MakeConcurrencyLimit(long slots,
                                      long connections,
                                      std::size_t instances_per_server);

// Adapts the limit by additive increase and multiplicative decrease (Chiu and
// Jain, 1989): a request that took more than three times the typical latency
// lowers it, any other request raises it. Without a typical latency (0) it is
// raised.
ConcurrencyLimit AdaptLimit(ConcurrencyLimit limit,
                            Duration latency,
                            Duration typical_latency);

// Lowers the limit after the server has shed a request.
ConcurrencyLimit AdaptLimitAfterShed(ConcurrencyLimit limit);

// Returns the limit rounded down to whole requests.
long RoundedDownLimit(const ConcurrencyLimit& limit);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_BALANCING_CONCURRENCY_LIMIT_H_
